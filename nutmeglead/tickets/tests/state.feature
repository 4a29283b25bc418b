Feature: Applying tickets gives one desired state

  Scenario Outline: The last ticket that touches a server or a number determines it
    Given tickets 1 to 3 with <one>, <two> and <three>
    Then <keys> belongs to <owner>

    Examples: each row names the failure it guards against
      | one                        | two                       | three                     | keys     | owner | failure                                                |
      | server lb-01; server lb-02 | key a/b                   | key a/b for lb-02         | key a/b  | lb-02 | an older claim on a key overrides a later one          |
      | server lb-01; server lb-02 | key a/b                   | key a/b for balancer      | key a/b  | none  | a key returned to the balancer keeps its owner         |
      | server lb-01; server lb-02 | numbers 0-65535 for lb-02 | key a/b                   | key a/b  | lb-01 | an older range overrides a key                         |
      | server lb-01; server lb-02 | key a/b                   | numbers 0-65535 for lb-02 | key a/b  | lb-02 | a key overrides a later range                          |
      | server lb-01; server lb-02 | numbers 0-9               | numbers 5-5 for lb-02     | number 5 | lb-02 | an older range overrides a later one                   |
      | server lb-01; server lb-02 | numbers 0-9               | numbers 5-5 for lb-02     | number 6 | lb-01 | the rest of a range is lost when a later one splits it |
      | server lb-01; server lb-02 | numbers 0-9               | numbers 5-5 for lb-02     | number 4 | lb-01 | the rest of a range is lost when a later one splits it |
      | server lb-01; server lb-02 | numbers 0-9               | numbers 3-5 for balancer  | number 5 | none  | a range returned to the balancer keeps its owner       |
      | server lb-01; server lb-02 | key a/b                   | server lb-01 leaving      | key a/b  | none  | a leaving server keeps getting new work                |
      | server lb-01; server lb-02 | numbers 0-9               | server lb-01 removed      | number 5 | none  | keys stay assigned to a removed server                 |

  Scenario: The claims of a server take effect again when it is present again
    Given tickets 1 to 3 with server lb-01; key a/b, server lb-01 leaving and server lb-01
    Then key a/b belongs to lb-01

  Scenario: A server has the state and the address of its last ticket
    Given tickets 1 to 3 with server lb-01, server lb-02 and server lb-01 leaving
    Then server lb-01 is leaving since ticket 3 and server lb-02 is present since ticket 2
    And the state has the number 3

  Scenario: A service that no ticket touched has no servers
    Given tickets 1 to 3 with server lb-01, server lb-02 and server lb-01 leaving
    Then service pedidos is empty

  Scenario: Tickets give the same state in whatever way they are applied
    Then in 200 generated histories the state is the same applied at once, one by one, shuffled and from the item rows
    And in 200 generated histories each number has the owner of the last ticket that names it
