Feature: Folding tickets gives one desired state

  Scenario Outline: The last ticket that touches an item determines it
    Given tickets 1 to 3 with <one>, <two> and <three>
    Then key <key> in bucket <bucket> belongs to <owner>

    Examples: each row names the failure it guards against
      | one                        | two                          | three                  | key | bucket | owner | failure                                     |
      | server lb-01; server lb-02 | key a/b                      | key a/b for lb-02      | a/b | 5      | lb-02 | an older claim wins                         |
      | server lb-01; server lb-02 | key a/b                      | key a/b for policy     | a/b | 5      | none  | a released key keeps its owner              |
      | server lb-01; server lb-02 | prefix a/ for lb-02          | key a/b                | a/b | 5      | lb-01 | a prefix overrides a key                    |
      | server lb-01; server lb-02 | key a/b                      | prefix a/ for lb-02    | a/b | 5      | lb-01 | a later prefix overrides a key              |
      | server lb-01; server lb-02 | prefix a/                    | prefix a/b for lb-02   | a/b | 5      | lb-02 | a shorter prefix wins                       |
      | server lb-01; server lb-02 | prefix a/b                   | prefix a/ for lb-02    | a/b | 5      | lb-01 | a later, shorter prefix wins                |
      | server lb-01; server lb-02 | prefix a/                    | buckets 0-9 for lb-02  | a/b | 5      | lb-01 | a bucket range overrides a prefix           |
      | server lb-01; server lb-02 | buckets 0-9                  | buckets 5-5 for lb-02  | a/b | 5      | lb-02 | an older range wins                         |
      | server lb-01; server lb-02 | buckets 0-9                  | buckets 5-5 for lb-02  | a/b | 6      | lb-01 | the rest of a split range is lost           |
      | server lb-01; server lb-02 | buckets 0-9                  | buckets 5-5 for lb-02  | a/b | 4      | lb-01 | the rest of a split range is lost           |
      | server lb-01; server lb-02 | buckets 0-9                  | buckets 3-5 for policy | a/b | 5      | none  | a released range keeps its owner            |
      | server lb-01; server lb-02 | key a/b                      | server lb-01 leaving   | a/b | 5      | none  | a leaving server gets new work              |
      | server lb-01; server lb-02 | key a/b; prefix a/ for lb-02 | server lb-01 leaving   | a/b | 5      | lb-02 | a leaving server's key skips the next claim |
      | server lb-01; server lb-02 | buckets 0-9                  | server lb-01 removed   | a/b | 5      | none  | keys wait for a server that is gone         |

  Scenario: The claims of a server take effect again when it is present again
    Given tickets 1 to 3 with server lb-01; key a/b, server lb-01 leaving and server lb-01
    Then key a/b in bucket 5 belongs to lb-01

  Scenario: A server has the state, address and weight of its last ticket
    Given tickets 1 to 3 with server lb-01, server lb-02 and server lb-01 leaving
    Then server lb-01 is leaving since ticket 3 and server lb-02 is present since ticket 2
    And the state has the number 3

  Scenario: A service that no ticket touched has no servers
    Given tickets 1 to 3 with server lb-01, server lb-02 and server lb-01 leaving
    Then service pedidos is empty

  Scenario: All ways to fold give the same state
    Then in 200 generated histories the state is the same folded at once, in steps, shuffled and from the item rows
    And in 200 generated histories each bucket has the owner of the last ticket that names it
