Feature: A node keeps its row in the store

  Scenario Outline: A node whose row is gone writes it again, once
    Given a node that has written its row
    When it reads <rows>
    Then it has written its row <count> times

    Examples: each row names the failure it guards against
      | rows                              | count | failure                                              |
      | that its row was removed          | 2     | a node that was only cut off stays unknown           |
      | all rows, and its own is missing  | 2     | the same, when the removal itself was not read       |
      | all rows, its own among them      | 1     | each loss of history makes all nodes write           |
      | that another row was removed      | 1     | each lost node makes all others write                |
