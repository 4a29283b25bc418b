Feature: The deadline of a request is judged by what its server has sent

  A request has 400 ms, and one pass of the event loop lasts 200 ms, in which its deadline passes.

  Scenario Outline: An answer that arrives whole while the event loop stands still is passed on
    Given a server whose answer has <size> bytes
    When <part> arrives while the event loop stands still across the deadline
    Then the caller gets the whole answer

    Examples: each row names the failure it guards against
      | size   | part                | failure                                                    |
      | 5      | the whole answer    | a request that has run gets 504, although its answer is there |
      | 500000 | the whole answer    | the same for an answer that is read in several parts       |
      | 900000 | the rest of a body  | a streamed answer is cut, although its rest is there       |

  Scenario Outline: An answer that is not whole at the deadline is not waited for
    Given a server whose answer has <size> bytes
    When <part> arrives while the event loop stands still across the deadline
    Then the caller gets <result> within 50 ms of the long pass

    Examples: each row names the failure it guards against
      | size   | part                | result            | failure                                       |
      | 5      | nothing             | 504               | a silent server holds a request               |
      | 5      | half of the answer  | 504               | a slow server holds a request                 |
      | 900000 | half of a body      | a cut answer      | a slow body holds a request                   |

  Scenario: A request whose server breaks off at the deadline is not sent again
    # Guards against work at a server for a caller whose time is over.
    Given a server whose answer has 5 bytes
    When the end of the connection arrives while the event loop stands still across the deadline
    Then the caller gets 502 within 50 ms of the long pass
    And 1 request has arrived
