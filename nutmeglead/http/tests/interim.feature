Feature: Interim responses stand between the responses to whole requests

  Scenario Outline: A caller that waits for 100 is told to go on after the responses before
    Given a server that streams an answer of 5 parts, one each 200 ms
    When a waiting caller sends <sending> and reads all
    Then the responses are <responses>, each whole

    Examples: each row names the failure it guards against
      | sending                                                    | responses        | failure                                                       |
      | a request that waits for 100                               | 100 200          | the interim response is left out                              |
      | a request and one behind it that waits for 100             | 200 100 200      | an interim response lands inside another response (review/12) |
      | two requests and one behind them that waits for 100        | 200 200 100 200  | the same with several responses due                           |

  Scenario: A caller has the whole time for its body after it was told to go on
    # Guards against a body that is refused because its caller had to wait for the responses before.
    Given a server that streams an answer of 5 parts, one each 200 ms
    When a waiting caller sends a request and one behind it that waits for 100, and its body 350 ms after it may
    Then the responses are 200 100 200, each whole
