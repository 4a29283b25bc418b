Feature: A process bounds what it holds for its callers, and refuses truthfully what it has no room for

  Large bodies may take 450,000 bytes here, and all held bytes together 500,000. Time is virtual.

  Scenario Outline: What a body meets when it is announced
    Given a server that takes bodies of up to <limit> bytes
    When one caller has sent half of a body of <earlier> bytes, and after <pause> ms another one sends <later> bytes
    Then the later one gets <answer>
    And the earlier one gets <earlier answer>
    And nothing is held in the end

    Examples: each row names the failure it guards against
      | limit  | earlier | pause | later  | answer | earlier answer | failure                                                       |
      | 400000 | 100000  | 10    | 400001 | 413    | 200            | the size is checked only after the body was kept              |
      | 900000 | 100000  | 10    | 450001 | 413    | 200            | a body that can never fit is told to come again               |
      | 400000 | 300000  | 10    | 200000 | 503    | 200            | bodies of several callers exceed the memory together          |
      | 400000 | 300000  | 600   | 200000 | 200    | 503            | bodies that stop short keep all others out                    |
      | 400000 | 400000  | 10    | 60000  | 200    | 200            | ordinary requests find no room beside large ones              |
      | 400000 | 100000  | 10    | 300000 | 200    | 200            | a body is refused although there is room                      |

  Scenario: A body that stops short behind a request in progress ends at its time
    # Guards against a timeout that has passed while an earlier request was in progress and never comes again.
    Given a server that takes bodies of up to 400000 bytes
    And its answers take 9000 ms
    When a caller sends a request and half of a second one
    Then the connection ends 10000 ms later at the latest, after the first answer
    And nothing is held in the end

  Scenario Outline: A caller that leaves takes nothing with it
    Given a server that takes bodies of up to 400000 bytes
    And its answers take 9000 ms
    When a caller sends <what> and leaves
    Then nothing is held in the end

    Examples: each row names the failure it guards against
      | what                         | failure                                                          |
      | half of a body               | an unfinished body stays counted                                 |
      | a whole body                 | the body of a cancelled request stays counted                    |
      | two requests and half a head | unread bytes stay counted                                        |

  Scenario Outline: A head counts as what it takes when it is parsed
    Given a server that takes bodies of up to 400000 bytes
    And its answers take 9000 ms
    When 4 callers send one request each with <fields> short headers
    Then <answered> of them are answered and the others are refused with 503
    And nothing is held in the end

    Examples: each row names the failure it guards against
      | fields | answered | failure                                                              |
      | 30     | 4        | ordinary requests are refused                                        |
      | 700    | 2        | a head of many fields counts as its text, a small part of what it takes |

  Scenario: What arrives behind a request is not kept for each request before it
    # Guards against parsers that keep a copy each of the requests that follow theirs (review/7).
    Given a server that takes bodies of up to 400000 bytes
    And its answers take 9000 ms
    When a caller sends 12 requests of 4000 bytes ahead
    Then the parsers of the requests in progress keep at most 4096 bytes each

  Scenario: What a parser has got of a head is held
    # Guards against unfinished heads that count for nothing.
    Given a server that takes bodies of up to 400000 bytes
    When 6 callers send 8000 bytes of a head each
    Then at least 48000 bytes are held meanwhile
    And nothing is held in the end

  Scenario Outline: Callers that read slowly
    Given a caller that takes <taken> of an answer every <interval> ms, while <room> is left
    When <duration> ms have passed
    Then the caller is <state>

    Examples: each row names the failure it guards against
      | taken   | interval | room   | duration | state     | failure                                              |
      | nothing | 100      | much   | 9000     | connected | an ordinary pause of a caller ends its connection    |
      | nothing | 100      | much   | 11000    | closed    | answers are held for good                            |
      | a part  | 9000     | much   | 60000    | connected | a slow caller is taken for one that reads nothing    |
      | nothing | 100      | little | 2000     | closed    | callers that read nothing keep others out            |
      | a part  | 500      | little | 60000    | connected | a slow caller is closed because others hold much     |

  Scenario Outline: Connections at their limit
    Given 4 connections of 4, of which <which> for <time> ms
    When another one arrives
    Then it is <admitted> and the closed ones are: <closed>

    Examples: each row names the failure it guards against
      | which                         | time | admitted     | closed | failure                                              |
      | all answer a request          | 1500 | not admitted | 0      | a request in progress is cut off                     |
      | 2 are idle                    | 500  | not admitted | 0      | a caller that has just connected is closed           |
      | 2 are idle                    | 1500 | admitted     | idle   | idle connections keep ordinary callers out           |
      | 2 have half a request         | 1500 | admitted     | first  | unfinished requests keep ordinary callers out        |
      | 1 has half a request, 1 is idle | 1500 | admitted   | idle   | a caller is cut off although another one is idle     |
