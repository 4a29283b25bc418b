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
      | store   | "a" at version 1   | Ok          | present | a valid change is refused                    |
      | store   | "a" at version 2   | RowConflict | absent  | a stale writer overwrites a newer row        |
      | store   | "b" at version 0   | Ok          | present | a first write is refused                     |
      | store   | "a" at version 0   | RowConflict | absent  | a row is created twice                       |

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
      | store   | unavailable              | TableUnavailable | absent  | an outage passes as an unknown result    |
      | store   | answer lost, applied     | TableAnswerLost  | present | an applied write passes as not applied   |
      | store   | answer lost, not applied | TableAnswerLost  | absent  | a lost write passes as applied           |

  Scenario Outline: A deleted row that is created again gets a higher version
    Given the <adapter> table with row "a" at version 1
    When row "a" is deleted and created again
    Then its version is above 1

    Examples: each row names the failure it guards against
      | adapter | failure                                             |
      | memory  | a writer that read the old row overwrites a new one |
      | store   | a writer that read the old row overwrites a new one |

  Scenario Outline: Reads tell an absent row from one that could not be read
    Given the <adapter> table with row "a" at version 1
    And the table is <service>
    When <operation>
    Then the answer is <answer>

    Examples: each row names the failure it guards against
      | adapter | service | operation                 | answer           | failure                                    |
      | memory  | up      | row "a" is read           | a at version 1   | a present row is not found                 |
      | memory  | up      | row "b" is read           | absent           | an absent row is taken for an outage       |
      | memory  | up      | rows from "a" are scanned | a at version 1   | a present row is missing in a scan         |
      | memory  | up      | rows from "x" are scanned | no row           | an empty scan is taken for an outage       |
      | memory  | down    | row "a" is read           | TableUnavailable | an outage passes as an absent row          |
      | memory  | down    | rows from "a" are scanned | TableUnavailable | an outage passes as an empty table         |
      | store   | up      | row "a" is read           | a at version 1   | a present row is not found                 |
      | store   | up      | row "b" is read           | absent           | an absent row is taken for an outage       |
      | store   | up      | rows from "a" are scanned | a at version 1   | a present row is missing in a scan         |
      | store   | up      | rows from "x" are scanned | no row           | an empty scan is taken for an outage       |
      | store   | down    | row "a" is read           | TableUnavailable | an outage passes as an absent row          |
      | store   | down    | rows from "a" are scanned | TableUnavailable | an outage passes as an empty table         |

  Scenario Outline: Another service on the address does not pass as a table
    Given an address that answers <given>
    When <operation> over HTTP
    Then the answer is <answer>

    Examples: each row names the failure it guards against
      | given                        | operation                 | answer           | failure                                         |
      | 404                          | row "a" is read           | TableUnavailable | a wrong service passes as an absent row         |
      | 404                          | rows from "a" are scanned | TableUnavailable | a wrong service passes as an empty table        |
      | 404                          | a commit is sent          | TableUnavailable | a commit to a wrong service counts as sent      |
      | 204                          | row "a" is read           | TableUnavailable | an answer without rows passes as an absent row  |
      | 204                          | rows from "a" are scanned | TableUnavailable | a scan without rows passes as an empty table    |
      | 204                          | a commit is sent          | TableAnswerLost  | a commit without versions passes as applied     |
      | 200 hello                    | row "a" is read           | TableUnavailable | the answer of a wrong service ends in an error  |
      | 200 {}                       | row "a" is read           | TableUnavailable | the answer of a wrong service ends in an error  |
      | 200 {}                       | rows from "a" are scanned | TableUnavailable | a wrong service passes as an empty table        |
      | 200 [{"key": "a"}]           | rows from "a" are scanned | TableUnavailable | half a row passes as a row                      |
      | 200 hello                    | a commit is sent          | TableAnswerLost  | a commit of unknown result passes as refused    |
      | 200 []                       | a commit is sent          | TableAnswerLost  | a commit of unknown result passes as applied    |
      | 412 hello                    | a commit is sent          | TableAnswerLost  | a commit of unknown result passes as a conflict |
      | 500                          | row "a" is read           | TableUnavailable | a failing service passes as an absent row       |
      | 500                          | a commit is sent          | TableAnswerLost  | a commit of unknown result passes as refused    |
      | 503                          | a commit is sent          | TableUnavailable | an outage passes as an unknown result           |
      | closed                       | row "a" is read           | TableUnavailable | a cut connection passes as an absent row        |
      | closed                       | a commit is sent          | TableAnswerLost  | a cut connection passes as a refused commit     |
      | refused                      | row "a" is read           | TableUnavailable | no connection passes as an absent row           |
      | refused                      | a commit is sent          | TableUnavailable | a commit that was never sent may be applied     |
