Feature: A node keeps its row in the store

  Scenario Outline: A node whose row is missing from the store writes it again, once
    Given a node that has written its row
    When it reads <rows>
    Then it has written its row <count> times

    Examples: each row names the failure it guards against
      | rows                              | count | failure                                              |
      | that its row was removed          | 2     | a node that was removed while cut off stays unknown  |
      | all rows, and its own is missing  | 2     | the same, when the node did not read the removal     |
      | all rows, its own among them      | 1     | all nodes write whenever the store loses its history |
      | that another row was removed      | 1     | all other nodes write whenever one node is removed   |
