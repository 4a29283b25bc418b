Feature: Writes of placement pages

  Scenario Outline: A page row is not as the controller knows it
    Given a service in force with seed <seed>
    When the first hash page in the table is <state> and server "lb-04" is to leave
    Then the ticket is in force within 10 s: <in_force>
    And no key is without a serving owner for longer than 200 ms
    And once the row is as before, every key is served and the ticket is in force

    Examples: Each row names the failure it guards against
      | state                   | seed | in_force | failure                                       |
      | as it was               | 1    | yes      | a planned move does not come to an end        |
      | written by someone else | 2    | yes      | a conflicting write is repeated unchanged     |
      | unreadable              | 3    | no       | an unreadable row stops healthy servers       |

  Scenario Outline: A move that cannot be made yet
    Given a hash page of 4 buckets whose bucket 0 has moved <moves> times without any proof
    When buckets 0 and 1 are to move to "s9"
    Then the buckets <done> are moved and <postponed> are postponed

    Examples: Each row names the failure it guards against
      | moves | done | postponed | failure                                         |
      | 0     | 0 1  | none      | a move is postponed without need                |
      | 3     | 0 1  | none      | the limit of holders is one too low             |
      | 4     | 1    | 0         | a fifth unproven holder is forgotten            |

  Scenario: The audit trail names the epoch at which each moved unit was written
    # Guards against an explanation that cannot tell which move gave a key its owner.
    Given a service in force with seed 4
    When keys are claimed and server "lb-04" leaves
    Then the last record of each moved unit names its epoch in the table

  Scenario: A unit's previous holders are cleared only as far as they are proven
    Given a hash page of 4 buckets whose bucket 0 has moved 2 times without any proof
    When the first previous holder of bucket 0 is cleared
    Then only the other one is left

  Scenario Outline: Rows of a page arrive from the table
    Given a hash page of 4 buckets whose bucket 0 has moved 1 times without any proof
    When the row is read again as <row>
    Then the owner of bucket 0 is "<owner>" and the unreadable rows are <unreadable>

    Examples: Each row names the failure it guards against
      | row               | owner | unreadable       | failure                                  |
      | its first version | s1    | none             | an older row takes a move back           |
      | garbage           | s1    | page/x/hash/0    | garbage replaces a known page            |
