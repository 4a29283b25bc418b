Feature: Requests are sent again only inside the budget, the deadline and what is proven

  Scenario Outline: A request whose first attempt fails after enough requests have earned a retry
    Given a router that has answered <earned> earlier requests
    And a server that <fault> at first
    When a <request> comes with <time> ms left and its course is run
    Then the repeated request ran <runs> times at the server in <sent> sendings
    And it is told "<told>"

    Examples: each row names the failure it guards against
      | earned | fault                     | request | time | runs | sent | told                           | failure                                              |
      | 20     | resets after the request  | lookup  | 900  | 2    | 2    | 200 whole                      | a lookup fails although another attempt was paid for |
      | 20     | resets after the request  | order   | 900  | 1    | 1    | 504 unknown server-failed      | an order that may have run is sent again             |
      | 20     | is refused                | order   | 900  | 1    | 1    | 200 whole                      | an order that no server saw is not sent again        |
      | 20     | sheds one request         | order   | 900  | 1    | 2    | 200 whole                      | a refused order is not sent again                    |
      | 20     | resets in mid request     | upload  | 900  | 0    | 1    | 504 unknown server-failed      | a cut upload is sent again from its middle           |
      | 20     | resets in mid request     | new file | 900 | 0    | 1    | 504 unknown server-failed      | the rest of a half-sent file is sent as a whole one  |
      | 8      | is refused                | order   | 900  | 0    | 0    | 503 not-run server-unreachable | retries exceed a tenth of the requests               |
      | 20     | stays silent              | lookup  | 100  | 1    | 1    | 504 unknown answer-late        | a retry runs past the caller's deadline              |

  Scenario Outline: A slow lookup is hedged inside the same budget
    Given a router that hedges after 20 ms and has answered <earned> earlier requests
    And a server that stays silent at first
    When a <request> comes with 900 ms left and its course is run
    Then the repeated request ran <runs> times at the server in <runs> sendings
    And it is told "<told>"
    And the connection of the slow sending is closed and every slot is free

    Examples: each row names the failure it guards against
      | earned | request | runs | told                    | failure                                    |
      | 20     | lookup  | 2    | 200 whole               | a stuck connection costs the whole deadline |
      | 20     | order   | 1    | 504 unknown answer-late | an order is hedged and runs twice          |
      | 8      | lookup  | 1    | 504 unknown answer-late | hedges exceed a tenth of the requests      |

  Scenario: A lookup that waits for a slot is not hedged
    Given a router that hedges after 20 ms and has answered 20 earlier requests
    When a lookup waits 100 ms for the only slot
    Then it took one place in the queue and the server ran it once

  Scenario: Retries of a failing server stay within a tenth of the requests
    Given a server that refuses every connection
    When 500 lookups come one after another
    Then the server saw at most 550 connection attempts and at least 540

  Scenario Outline: The budget and the back-off of the pure policy
    When generated requests, failures and hedges meet the policy <policy>
    Then paid repeats never exceed <percent> percent of the requests so far
    And every back-off ends before its deadline and within the capped step

    Examples: each row names the failure it guards against
      | policy   | percent | failure                                           |
      | budgeted | 10      | a burst of failures multiplies the load           |
      | none     | 0       | the naive baseline retries and hides the others   |
