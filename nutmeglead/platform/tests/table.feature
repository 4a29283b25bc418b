Feature: Every adapter of the TableStore port keeps its contract

  Scenario Outline: A commit is applied only if the checked row has the expected version
    Given the <adapter> table with row "a" at version 1
    When a commit checks <check> and writes "a" and "b"
    Then the commit gives <answer>
    And row "b" is <state>

    Examples: each row names the failure it guards against
      | adapter | check            | answer      | state   | failure                               |
      | memory  | "a" at version 1 | Ok          | present | a valid change is refused             |
      | memory  | "a" at version 2 | RowConflict | absent  | a stale writer overwrites a newer row |
      | memory  | "b" at version 0 | Ok          | present | a first write is refused              |
      | memory  | "a" at version 0 | RowConflict | absent  | a row is created twice                |
      | store   | "a" at version 1 | Ok          | present | a valid change is refused             |
      | store   | "a" at version 2 | RowConflict | absent  | a stale writer overwrites a newer row |
      | store   | "b" at version 0 | Ok          | present | a first write is refused              |
      | store   | "a" at version 0 | RowConflict | absent  | a row is created twice                |

  Scenario Outline: The error of a failed commit tells whether the commit may have been applied
    Given the <adapter> table with row "a" at version 1
    And the next commit fails: <fault>
    When a commit checks "a" at version 1 and writes "a" and "b"
    Then the commit gives <answer>
    And row "b" is <state>

    Examples: each row names the failure it guards against
      | adapter | fault                    | answer           | state   | failure                                             |
      | memory  | unavailable              | TableUnavailable | absent  | an outage is reported as an unknown result          |
      | memory  | answer lost, applied     | TableAnswerLost  | present | an applied write is reported as not applied         |
      | memory  | answer lost, not applied | TableAnswerLost  | absent  | a write that was not applied is reported as applied |
      | store   | unavailable              | TableUnavailable | absent  | an outage is reported as an unknown result          |
      | store   | answer lost, applied     | TableAnswerLost  | present | an applied write is reported as not applied         |
      | store   | answer lost, not applied | TableAnswerLost  | absent  | a write that was not applied is reported as applied |

  Scenario Outline: A deleted row that is created again gets a higher version
    Given the <adapter> table with row "a" at version 1
    When row "a" is deleted and created again
    Then its version is above 1

    Examples: each row names the failure it guards against
      | adapter | failure                                                  |
      | memory  | a commit that expects the old row overwrites the new one |
      | store   | a commit that expects the old row overwrites the new one |

  Scenario Outline: The result of a read tells an absent row from a failed read
    Given the <adapter> table with row "a" at version 1
    And the table is <state>
    When <operation>
    Then the result is <answer>

    Examples: each row names the failure it guards against
      | adapter | state   | operation                 | answer           | failure                                 |
      | memory  | up      | row "a" is read           | a at version 1   | a present row is not found              |
      | memory  | up      | row "b" is read           | absent           | an absent row is reported as an outage  |
      | memory  | up      | rows from "a" are scanned | a at version 1   | a present row is missing in a scan      |
      | memory  | up      | rows from "x" are scanned | no row           | an empty scan is reported as an outage  |
      | memory  | down    | row "a" is read           | TableUnavailable | an outage is reported as an absent row  |
      | memory  | down    | rows from "a" are scanned | TableUnavailable | an outage is reported as an empty table |
      | store   | up      | row "a" is read           | a at version 1   | a present row is not found              |
      | store   | up      | row "b" is read           | absent           | an absent row is reported as an outage  |
      | store   | up      | rows from "a" are scanned | a at version 1   | a present row is missing in a scan      |
      | store   | up      | rows from "x" are scanned | no row           | an empty scan is reported as an outage  |
      | store   | down    | row "a" is read           | TableUnavailable | an outage is reported as an absent row  |
      | store   | down    | rows from "a" are scanned | TableUnavailable | an outage is reported as an empty table |

  Scenario Outline: The answers of another service at the store's address are not taken for those of the store
    Given another service at the store's address that answers <given>
    When <operation> over HTTP
    Then the result is <answer>

    Examples: each row names the failure it guards against
      | given              | operation                 | answer           | failure                                                               |
      | 404                | row "a" is read           | TableUnavailable | a foreign answer is reported as an absent row                         |
      | 404                | rows from "a" are scanned | TableUnavailable | a foreign answer is reported as an empty table                        |
      | 404                | a commit is sent          | TableUnavailable | a commit that another service refused is reported as possibly applied |
      | 204                | row "a" is read           | TableUnavailable | an answer without rows is reported as an absent row                   |
      | 204                | rows from "a" are scanned | TableUnavailable | an answer without rows is reported as an empty table                  |
      | 204                | a commit is sent          | TableAnswerLost  | an answer without a version is taken for a successful commit          |
      | 200 hello          | row "a" is read           | TableUnavailable | a foreign answer raises an error that nobody catches                  |
      | 200 {}             | row "a" is read           | TableUnavailable | a foreign answer raises an error that nobody catches                  |
      | 200 {}             | rows from "a" are scanned | TableUnavailable | a foreign answer is reported as an empty table                        |
      | 200 [{"key": "a"}] | rows from "a" are scanned | TableUnavailable | an incomplete row is returned                                         |
      | 200 hello          | a commit is sent          | TableAnswerLost  | a commit of unknown result is reported as refused                     |
      | 200 []             | a commit is sent          | TableAnswerLost  | a commit of unknown result is reported as applied                     |
      | 412 hello          | a commit is sent          | TableAnswerLost  | a commit of unknown result is reported as a conflict                  |
      | 500                | row "a" is read           | TableUnavailable | a failing service is reported as an absent row                        |
      | 500                | a commit is sent          | TableAnswerLost  | a commit of unknown result is reported as refused                     |
      | 503                | a commit is sent          | TableUnavailable | an outage is reported as an unknown result                            |
      | closed             | row "a" is read           | TableUnavailable | a closed connection is reported as an absent row                      |
      | closed             | a commit is sent          | TableAnswerLost  | a commit of unknown result is reported as refused                     |
      | refused            | row "a" is read           | TableUnavailable | a refused connection is reported as an absent row                     |
      | refused            | a commit is sent          | TableUnavailable | a commit that was never sent is reported as possibly applied          |
