Feature: Requests for a moving unit wait, bounded, and run once at the owner that holds the grant

  Scenario Outline: An order meets a move
    Given orders for a unit that <situation>
    When the situation has run its course
    Then each order is told "<told>"
    And the old owner ran <old> and the new owner ran <new> orders

    Examples: each row names the failure it guards against
      | situation                                | told                              | old | new | failure                                               |
      | is pending and then done                 | 200 whole                         | 0   | 3   | orders are refused during a planned move              |
      | moved while the old owner refuses        | 200 whole                         | 0   | 3   | an order for an old epoch is refused to the caller    |
      | is served though the map says pending    | 200 whole                         | 0   | 3   | a table outage keeps a finished move from serving     |
      | has an owner that gets its grant later   | 200 whole                         | 0   | 3   | a refusal at the present epoch is passed to callers   |
      | never gets ready                         | 503 not-run handover-wait-ended   | 0   | 0   | orders wait for ever, or are called unknown           |
      | has no owner for a while                 | 200 whole                         | 0   | 3   | a lost server's keys are refused before their new owner is known |
      | has no owner for long                    | 503 not-run no-owner              | 0   | 0   | orders without an owner wait for ever                 |
      | has an owner without an address          | 503 not-run no-owner              | 0   | 0   | an unknown address ends the router's task             |
      | moves while orders wait for a slot       | 200 whole                         | 0   | 3   | orders wait for a lost server while the new owner idles |
      | moves after an order reached the owner   | 504 unknown server-failed         | 1   | 0   | an order that may have run runs again at the new owner |

  Scenario Outline: A server that does not check grants
    Given orders for a server without checks whose address is that of <address>
    When the situation has run its course
    Then each order is told "<told>"

    Examples: each row names the failure it guards against
      | address    | told                 | failure                                          |
      | its gate   | 200 whole            | servers behind a gate are not reached            |
      | the server | 503 not-run no-owner | an order passes by the gate and has two owners   |

  Scenario: Waiting orders start in deadline order
    Given orders for a unit that is pending and then done
    When the situation has run its course
    Then the new owner got the orders in deadline order at the new epoch

  Scenario Outline: An owner that refuses is tried by one request per interval
    Given orders for a unit that <situation>
    When the situation has run its course
    Then the owner got from <least> to <most> requests

    # 500 ms of waiting allow 10 trials; each of the 3 orders may be refused once before.
    Examples: each row names the failure it guards against
      | situation                    | least | most | failure                                             |
      | never gets ready             | 1     | 10   | every waiting order knocks at the new owner         |
      | is refused at its own epoch  | 4     | 13   | refused orders are sent again without a pause       |
      | has an owner that is silent  | 1     | 1    | trials pile up at an owner that does not answer     |

  Scenario Outline: Waiting for a move is bounded
    Given a unit that is moving and a bound on the <bound>
    When 9 orders of 100 bytes come for it
    Then <count> orders are refused at once with "503 not-run handover-wait-full"

    Examples: each row names the failure it guards against
      | bound | count | failure                                              |
      | count | 1     | a long move fills the router's memory with requests  |
      | bytes | 4     | a long move fills the router's memory with bodies    |

  Scenario: The connection to a new owner is open before the move
    Given a router whose map names a new server
    Then one idle connection to each server is open
