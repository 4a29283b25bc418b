Feature: The baselines keep the properties of their schemes

  Scenario Outline: A lost server moves only its own keys
    Given 2000 keys of equal load on 10 servers placed by <scheme>
    When one server is lost
    Then only keys of the lost server move

    Examples: each row names the failure it guards against
      | scheme                | failure                                          |
      | hash ring             | the comparison counts churn that a ring avoids   |
      | rendezvous            | the comparison counts churn that it avoids       |

  Scenario Outline: The bounded-load ring keeps its bound
    Given 2000 keys of Zipf load on 10 servers placed by <scheme>
    When the load of the keys is reversed
    Then no server exceeds 1.1 times the mean load

    Examples: each row names the failure it guards against
      | scheme                    | failure                                       |
      | bounded-load ring         | the comparison is made with a worse balance   |
      | sticky bounded-load ring  | the comparison is made with a worse balance   |

  Scenario: The sticky ring moves fewer keys than the ring placed anew
    Given 2000 keys of Zipf load on 10 servers placed by sticky bounded-load ring
    When the load of the keys is reversed
    Then fewer keys move than by bounded-load ring
