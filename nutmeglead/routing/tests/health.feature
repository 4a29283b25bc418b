Feature: The router leaves a failing server alone, but only for failures of the server

  Scenario Outline: A server misbehaves towards many requests, then an order comes for it
    Given ejections that begin with <ejection> ms
    When <count> lookups meet a server that <behaviour>
    And then an order comes
    Then the order is answered "<told>" after <time> ms
    And the server got <during> requests while the order waited

    Examples: each row names the failure it guards against
      | ejection | count | behaviour             | told                       | time | during | failure                                                  |
      | 300      | 15    | resets every request  | 200 whole                  | 300  | 0      | a dead server gets requests that are bound to fail       |
      | 5000     | 15    | resets every request  | 503 not-run server-ejected | 500  | 0      | orders for an ejected server wait without bound          |
      | 300      | 30    | resets or loses callers | 200 whole                | 300  | 0      | a caller that left counts as a success of a dead server  |
      | 5000     | 15    | sheds every request   | 200 whole                  | 0    | 0      | a server that sheds load correctly is taken out of use   |
      | 5000     | 30    | gets short deadlines  | 200 whole                  | 0    | 0      | callers with short deadlines eject a healthy server      |
      | 5000     | 15    | loses every caller    | 200 whole                  | 0    | 0      | callers that leave eject a healthy server                |
