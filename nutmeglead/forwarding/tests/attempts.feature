Feature: An attempt sends its request only while the server may get it

  Scenario: A server begins to leave while a connection to it is opened
    # Guards against a request that was assigned in time and reaches a leaving server after the drain bound, because opening
    # the connection took up to 300 ms.
    Given an attempt at a server that begins to leave while the connection is opened
    When the attempt runs
    Then nothing was sent and the error says that the server is leaving
    And the request may be tried again without a retry from the budget

  Scenario: An attempt reads its answer in turn with the other connections of the process
    # Guards against one pass of the event loop that takes as long as all answers in small chunks together.
    Given an attempt at a server that answers with 1 parts of 16 bytes
    When the attempt reads the answer
    Then its connection takes turns with those of other requests
    And what arrives on its connection is counted

  Scenario Outline: An attempt holds no more of an answer than it counts
    # Parts of a body are objects of their own, which take several times their bytes if these are few.
    Given an attempt at a server that answers with <count> parts of <size> bytes
    And its head has <fields> fields of 4 bytes
    When the attempt reads the answer
    Then its body has <total> bytes
    And at most <transit> bytes more than it has counted were held at any time

    Examples: each row names the failure it guards against
      | count | size   | fields | total  | transit | failure                                                  |
      | 36875 | 16     | 2      | 590000 | 65536   | the objects of the parts are not counted                 |
      | 9000  | 65     | 2      | 585000 | 65536   | the parts are copied once more when they are joined      |
      | 18    | 32768  | 2      | 589824 | 65536   | the same, for parts that are as large as a read          |
      | 200   | 1      | 2      | 200    | 65536   | the buffer of a small answer is not counted              |
      | 1     | 200    | 5000   | 200    | 65536   | the fields of a head are not counted                     |

  Scenario: An answer that finds no room is passed on as it arrives
    # Guards against an answer without its body, where already the head finds no room.
    Given an attempt at a server that answers with 2 parts of 16 bytes
    And there is no room
    When the attempt reads the answer
    Then its body begins with 16 bytes and the rest can be read

  Scenario Outline: An answer that shares its connection with others is read whole
    Given an attempt at a server that answers with 100 parts of 15000 bytes
    And its caller's connection has <others>
    When the attempt reads the answer
    Then it has read <read> bytes of the body and <rest>

    Examples: each row names the failure it guards against
      | others                    | read    | rest                 | failure                                                             |
      | no other request          | 615000  | the rest can be read | a large answer is kept from its caller until all of it has arrived  |
      | other requests            | 1500000 | nothing is left      | a cut answer takes those behind it with it (review/13)              |

  Scenario Outline: The length that a server states
    Given an attempt at a server that answers with <count> parts of 900 bytes
    And the caller's method is <method>
    When the attempt reads the answer
    Then the headers for the caller <verb> the server's length

    Examples: each row names the failure it guards against
      | count | method | verb | failure                                                       |
      | 0     | HEAD   | keep | the answer to HEAD states a length of 0, whatever the server's |
      | 1     | GET    | drop | an answer has two lengths                                     |
