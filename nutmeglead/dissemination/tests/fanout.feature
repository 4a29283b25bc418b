Feature: A push reaches every live member with bounded work per node

  Scenario Outline: Each strategy reaches all members exactly once when they agree and are alive
    Then <strategy> reaches all members of up to 4 failure domains once, each node with <bound>

    Examples:
      | strategy    | bound                                               |
      | domain_tree | at most twice the fan-out and one push per domain   |
      | direct      | any number of pushes                                |

  Scenario: Members that do not answer are replaced
    Then domain_tree reaches all other members whichever members do not answer

  Scenario: A node sends one delta to nobody twice, also when the members change in between
    Then a round of pushes leaves out this node, the sender and receivers that were tried

  Scenario: Successive versions of a page take the same path
    Given 3 failure domains of 5 members
    Then two deltas of one page have the same first receivers

  Scenario: Different pages use different relays
    Given 3 failure domains of 5 members
    Then 64 pages use all members of another failure domain as relays

  Scenario: Forwarding ends even when members disagree
    Given 3 failure domains of 5 members
    Then a delta with no hops left is not forwarded

  Scenario: An unknown strategy is refused with the known ones
    Then the strategy "gossip" is refused and the known ones are named
