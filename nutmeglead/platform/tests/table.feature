Feature: Every table adapter keeps the contract of the TableStore port

  Scenario Outline: Conditional commits
    Given the <adapter> table with row "a" at version 1
    When a commit checks <check> and writes "a" and "b"
    Then the commit gives <answer>
    And row "b" is <state>

    Examples: each row names the failure it guards against
      | adapter | check              | answer      | state   | failure                                      |
      | memory  | "a" at version 1   | Ok          | present | a valid change is refused                    |
      | memory  | "a" at version 2   | RowConflict | absent  | a stale writer overwrites a newer row        |
      | memory  | "b" at version 0   | Ok          | present | a first write is refused                     |
      | memory  | "a" at version 0   | RowConflict | absent  | a row is created twice                       |
      | http    | "a" at version 1   | Ok          | present | a valid change is refused                    |
      | http    | "a" at version 2   | RowConflict | absent  | a stale writer overwrites a newer row        |
      | http    | "b" at version 0   | Ok          | present | a first write is refused                     |
      | http    | "a" at version 0   | RowConflict | absent  | a row is created twice                       |

  Scenario Outline: Faults say whether the commit was applied
    Given the <adapter> table with row "a" at version 1
    And the next commit meets <fault>
    When a commit checks "a" at version 1 and writes "a" and "b"
    Then the commit gives <answer>
    And row "b" is <state>

    Examples: each row names the failure it guards against
      | adapter | fault                    | answer           | state   | failure                                  |
      | memory  | unavailable              | TableUnavailable | absent  | an outage passes as an unknown result    |
      | memory  | answer lost, applied     | TableAnswerLost  | present | an applied write passes as not applied   |
      | memory  | answer lost, not applied | TableAnswerLost  | absent  | a lost write passes as applied           |
      | http    | unavailable              | TableUnavailable | absent  | an outage passes as an unknown result    |
      | http    | answer lost, applied     | TableAnswerLost  | present | an applied write passes as not applied   |
      | http    | answer lost, not applied | TableAnswerLost  | absent  | a lost write passes as applied           |

  Scenario Outline: A deleted row that is created again gets a higher version
    Given the <adapter> table with row "a" at version 1
    When row "a" is deleted and created again
    Then its version is above 1

    Examples: each row names the failure it guards against
      | adapter | failure                                             |
      | memory  | a writer that read the old row overwrites a new one |
      | http    | a writer that read the old row overwrites a new one |
