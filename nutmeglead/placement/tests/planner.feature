Feature: The planner moves units only for a typed reason, the most urgent first

  Scenario Outline: Units of lost servers spread over all remaining servers by load
    Given 6 servers in 3 failure domains with even load
    And a budget of 0 policy moves and 0 ticket moves
    When it happens that <event>
    And the planner runs
    Then every unit has one present owner
    And the remaining servers differ by at most one unit of load
    And the reasons are SERVER_LOST

    Examples: each row names the failure it guards against
      | event                        | failure                                                    |
      | s1 is lost                   | a budget of 0 leaves units of a lost server unavailable    |
      | s1 and s2 are lost           | the second loss finds its units given to the first         |
      | failure domain d0 is lost    | all units go to one server, which then fails from overload |
      | 5 of 6 servers are lost      | no receiver is found although one server remains           |

  Scenario: A lost unit that a ticket claims goes to its claimed server at once
    Given 6 servers in 3 failure domains with even load
    And a budget of 0 policy moves and 0 ticket moves
    When it happens that s1 is lost and its bucket 1 is claimed for s5
    And the planner runs
    Then bucket 1 moves to s5 for SERVER_LOST

  Scenario: Lost units without measured load spread by their number
    Given 6 servers in 3 failure domains with even load
    When it happens that s1 is lost and none of its 11 units had load
    And the planner runs
    Then no server receives more than 4 units

  Scenario: The heaviest lost units are placed first
    Given 6 servers in 3 failure domains with even load
    And a budget of 0 policy moves and 0 ticket moves
    When it happens that s1 is lost with one unit of 100 requests/s after its units of 10
    And the planner runs
    Then no remaining server has more than 200 requests/s

  Scenario Outline: A ticket's claim takes precedence over the policy
    Given 6 servers in 3 failure domains with even load
    When it happens that <event>
    And the planner runs
    Then <outcome>

    Examples: each row names the failure it guards against
      | event                                        | outcome                                          | failure                                                  |
      | bucket 0 is claimed for s5                   | bucket 0 moves to s5 for TICKET_CLAIM            | a ticket has no effect                                   |
      | bucket 0 is claimed for s4 and then for s5   | bucket 0 moves to s5 for TICKET_CLAIM            | an earlier ticket overrides a later one                  |
      | key "gear" is claimed for s5                 | key "gear" moves to s5 for TICKET_CLAIM          | a key's claim is lost because its bucket stays           |
      | prefix "gear" is claimed for s5              | prefix "gear" moves to s5 for TICKET_CLAIM       | keys with the prefix stay in their buckets               |
      | bucket 0 is claimed for s9                   | nothing moves and the claim is UNKNOWN_SERVER    | a claim on a server that does not exist ends the planner |
      | bucket 99 is claimed for s1                  | nothing moves and the claim is UNKNOWN_BUCKET    | a claim beyond the last bucket ends the planner          |
      | bucket 0 is claimed for s0, which overloads  | bucket 0 stays on s0                             | rebalancing undoes a ticket                              |
      | hot key in a bucket claimed for s0           | no key is pinned                                 | pinning takes a key away from its ticket                 |
      | a pinned key's bucket is claimed for s5      | the pin is removed for TICKET_CLAIM              | an old pin keeps a key away from its ticket              |
      | the claim of prefix "gear" is withdrawn      | the pin is removed for TICKET_CLAIM              | a withdrawn claim stays in force                         |
      | the claim of prefix "gear" is withdrawn from a hot key | the pin is removed for TICKET_CLAIM | load counted for the prefix is taken from a bucket |
      | s0 is lost and bucket 0 is claimed for s0    | bucket 0 moves for SERVER_LOST, unmet SERVER_LOST | a claimed key waits for a server that is gone           |
      | s0 leaves with a claimed key "gear"          | key "gear" moves for SERVER_LEAVING, unmet SERVER_LEAVING | a leaving server keeps getting new work         |
      | a claimed server is back                     | bucket 0 moves to s0 for TICKET_CLAIM            | a claim is forgotten when its server was lost            |

  Scenario: Moves come in order of urgency
    Given 6 servers in 3 failure domains with even load
    When it happens that s1 is lost, s2 leaves, bucket 0 is claimed for s5 and s3 is overloaded by hot keys
    And the planner runs
    Then the reasons come in the order SERVER_LOST, TICKET_CLAIM, SERVER_LEAVING, IMBALANCE, HOT_KEY_PINNED

  Scenario Outline: Moves beyond the ticket budget are deferred and done by the next plans
    Given 6 servers in 3 failure domains with even load
    And a budget of 0 policy moves and 4 ticket moves
    When it happens that <event>
    And the planner runs until it moves nothing
    Then no plan had more than 4 moves
    And every unit has one present owner

    Examples: each row names the failure it guards against
      | event                 | failure                                                      |
      | s2 leaves             | a large ticket needs more table writes than there are        |
      | no unit has an owner  | the first placement of a large service exceeds the memory    |

  Scenario: Without any present server nothing moves
    Given 6 servers in 3 failure domains with even load
    When it happens that 6 of 6 servers are lost
    And the planner runs
    Then nothing moves and 64 units are unplaced

  Scenario: The plan does not depend on the order of dictionaries
    Given 6 servers in 3 failure domains with even load
    When pins, hot keys and rates are given in two orders
    Then both plans are equal
