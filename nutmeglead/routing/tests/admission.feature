Feature: Admission refuses at once what cannot be in time and starts the rest in a fair order

  # Arrivals are name=service/unit@deadline or name=service/unit@deadline#bytes. The queue of a
  # service holds 8 requests and 1000 bytes; orders have priority 2; every server has its slots free.
  Scenario Outline: Requests arrive at one server
    Given the admission policy <policy> with measured service times of <measured> ms
    When <arrivals> arrive for a server with <slots> slots
    Then <refused> are refused as <kind>
    And the others start in the order <started>

    Examples: each row names the failure it guards against
      | policy   | measured | slots | arrivals | refused | kind | started | failure |
      | deadline | 0   | 1 | a=lookups/u1@300 b=lookups/u2@100 c=lookups/u3@200 | none | none | b c a | the request with least time left is served last |
      | deadline | 0   | 1 | a=lookups/u1@100 b=orders/u2@900 | none | none | b a | orders and payments wait behind lookups |
      | deadline | 0   | 4 | a=lookups/hot@100 b=lookups/hot@110 c=lookups/cold@200 | none | none | a c b | one hot unit takes every slot of its server |
      | deadline | 0   | 1 | a=lookups/hot@100 b=lookups/hot@100 c=lookups/hot@100 d=lookups/cold@200 | c | queue-full | a d b | one hot unit fills the queue of its service |
      | deadline | 0   | 1 | a=lookups/u1@100 b=lookups/u2@100 c=lookups/u3@100 d=lookups/u4@100 e=lookups/u5@100 f=lookups/u6@100 g=lookups/u7@100 h=lookups/u8@100 i=lookups/u9@100 j=orders/u1@100 | i | queue-full | j a b c d e f g h | one service's queue grows without bound or fills another's |
      | deadline | 0   | 1 | a=orders/u1@100#600 b=orders/u2@100#600 c=lookups/u3@100#600 | b | queue-full | a c | waiting bodies fill the memory |
      | deadline | 0   | 1 | a=lookups/u1@0 b=lookups/u2@100 | a | deadline-passed | b | a late request takes a slot |
      | deadline | 50  | 1 | a=lookups/u1@120 b=lookups/u2@120 c=lookups/u3@120 | c | deadline-unreachable | a b | a request waits in vain and its caller learns it too late |
      | deadline | 50  | 2 | a=lookups/u1@120 b=lookups/u2@120 c=lookups/u3@120 | none | none | a b c | requests are refused although the slots suffice |
      | deadline | 500 | 1 | a=lookups/u1@100 b=lookups/u2@100 | b | deadline-unreachable | a | after a slow phase nothing is sent and nothing measured again |
      | fifo     | 50  | 1 | a=lookups/u1@300 b=lookups/u2@100 c=lookups/u3@200 | none | none | a b c | the naive baseline is not what its name says |

  Scenario Outline: Large files and small requests have their own shares
    Given 8 exchanges of which files have 25 percent
    When <first> of <service> run and <others> of <other> come
    Then <started> of <other> start

    Examples: each row names the failure it guards against
      | first | service | others | other   | started | failure                                      |
      | 8     | files   | 8      | lookups | 6       | large files take every exchange of the router |
      | 8     | lookups | 8      | files   | 2       | small requests starve the large files        |

  Scenario: A waiting request whose deadline passes is expired and never started
    Given the admission policy deadline with measured service times of 0 ms
    When a=lookups/u1@100 b=lookups/u2@300 arrive for a server with 1 slots and 200 ms pass
    Then a is expired and b starts

  Scenario: Service times that vary make the estimate cautious
    Given the admission policy deadline with measured service times of 10 ms
    And a service time of 40 ms after them
    When a=lookups/u1@85 b=lookups/u2@85 c=lookups/u3@85 d=lookups/u4@85 e=lookups/u5@85 arrive for a server with 1 slots
    Then e are refused as deadline-unreachable

  Scenario: A server that became slow gives back what can no longer be in time
    Given the admission policy deadline with measured service times of 10 ms
    When 6 requests with 190 ms left come for 2 slots and the first one takes 100 ms
    Then the last request is refused then, and the others still wait or run

  Scenario Outline: Generated arrivals, ends and withdrawals
    When generated events meet the admission policy <policy>
    Then each request ends in exactly one way and no bound is ever exceeded

    Examples: each row names the failure it guards against
      | policy   | failure                                                |
      | deadline | a request is lost or started twice, or a count drifts  |
      | fifo     | a request is lost or started twice, or a count drifts  |
