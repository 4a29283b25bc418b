Feature: Every fault of a server ends in a typed failure, and its connection is never reused

  # "told" is status, outcome and kind; "runs" is what the server counted as run.
  Scenario Outline: A fault on the first connection
    Given a fake server that <fault> on its first connection
    When a caller sends a <request> and <time> ms pass
    Then the server ran the request <runs> times
    And the caller is told "<told>"
    And the first connection carries no other request and is closed
    And the next caller gets the answer to its own request

    Examples: each row names the failure it guards against
      | fault                    | request | time | runs | told                           | failure                                                |
      | resets in mid request    | upload  | 0    | 0    | 504 unknown server-failed      | a cut order is called not run though the head arrived  |
      | resets after the request | order   | 0    | 1    | 504 unknown server-failed      | an order that ran is called not run or sent again      |
      | closes after the request | order   | 0    | 1    | 504 unknown server-failed      | a clean close is taken for an empty answer             |
      | cuts the answer          | lookup  | 0    | 1    | 504 unknown server-failed      | a short body is passed on as whole                     |
      | cuts the file            | file    | 0    | 1    | cut                            | a short large file looks whole to the caller           |
      | stays silent             | order   | 1000 | 1    | 504 unknown answer-late        | a late order is called not run                         |
      | freezes and comes back   | lookup  | 1000 | 1    | 504 unknown answer-late        | the late answer goes to the next caller                |
      | answers another request  | lookup  | 0    | 1    | 504 unknown answer-malformed   | a caller gets the answer to another caller's request   |
      | sends too long a body    | lookup  | 0    | 1    | 200 whole                      | surplus bytes begin the next caller's answer           |
      | answers twice            | lookup  | 0    | 1    | 200 whole                      | the second answer goes to the next caller              |
      | answers again later      | lookup  | 0    | 1    | 200 whole                      | an answer that comes on an idle connection is used     |
      | sends a broken chunk     | lookup  | 0    | 1    | 504 unknown answer-malformed   | a malformed body is passed on                          |
      | sends both lengths       | lookup  | 0    | 1    | 504 unknown answer-malformed   | two readers disagree on where the answer ends          |
      | sends two lengths        | lookup  | 0    | 1    | 504 unknown answer-malformed   | two readers disagree on where the answer ends          |
      | sends no length          | lookup  | 0    | 1    | 504 unknown answer-malformed   | a reset looks like the end of the body                 |
      | sends no HTTP            | lookup  | 0    | 1    | 504 unknown answer-malformed   | a foreign protocol ends the router's task              |
      | floods the head          | lookup  | 0    | 1    | 504 unknown answer-malformed   | an endless head fills the router's memory              |
      | sends only 100           | lookup  | 1000 | 1    | 504 unknown answer-late        | an informational answer is taken for the final one     |
      | switches protocols       | lookup  | 0    | 1    | 504 unknown answer-malformed   | the connection turns into a tunnel                     |
      | says that it closes      | lookup  | 0    | 1    | 200 whole                      | a request is written into a closing connection         |
      | reads nothing            | upload  | 1000 | 0    | 504 unknown answer-late        | a server that does not read holds a request for ever   |
      | refuses early            | upload  | 0    | 0    | 503 not-run server-refused     | the rest of a refused body begins the next request     |
      | refuses with an endless body | order | 0  | 0    | 503 not-run server-refused     | draining a refusal takes the slot of other requests    |

  Scenario Outline: A connection that cannot carry a request is not used
    Given a fake server whose connection <fault>
    When a caller sends a <request> and 0 ms pass
    Then the server ran the request <runs> times
    And the caller is told "<told>"

    Examples: each row names the failure it guards against
      | fault                       | request | runs | told                           | failure                                            |
      | is refused                  | order   | 0    | 503 not-run server-unreachable | a refused connection is called unknown             |
      | dies before the first byte  | order   | 0    | 503 not-run server-unreachable | no byte was written but the order is called unknown |
      | answers unasked             | order   | 1    | 200 whole                      | bytes that came before the request are its answer  |

  Scenario Outline: The router was paused past the deadline
    Given a fake server whose connection <state> after a pause of the router
    When a caller sends a order and 0 ms pass
    Then the server ran the request 0 times
    And the caller is told "503 not-run deadline-passed"

    Examples: each row names the failure it guards against
      | state     | failure                                                        |
      | opens     | a paused router sends a request whose caller has given up      |
      | is reused | bytes of an earlier request make this one's outcome unknown    |

  Scenario Outline: A healthy end of an exchange keeps its connection
    Given a fake server that <fault> on its first connection
    When a caller sends a <request> and 0 ms pass
    Then the caller is told "<told>"
    And the next request uses the first connection

    Examples: each row names the failure it guards against
      | fault                   | request | told                       | failure                                             |
      | sends 100 and 103 first | lookup  | 200 whole                  | informational answers are passed on or cut          |
      | sheds load              | order   | 503 not-run server-refused | each refusal under overload costs a new connection  |
      | fails by itself         | lookup  | 503 whole                  | a server's own 503 is taken for a proof of not run  |

  Scenario: A connection that the server closed while idle is not used
    Given a fake server that closes when idle on its first connection
    When a caller sends a order and 0 ms pass
    And the server thaws
    Then the next caller gets the answer to its own request
    And the server opened 2 connections
