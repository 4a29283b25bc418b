Feature: An error that nobody expects does not leave a process that serves without one of its parts

  Scenario Outline: <part> of a node fails
    Given a settled cluster of three nodes with seed <seed>
    When an unexpected error leaves <part>
    Then the process ends at once with code 70, so that it starts again

    Examples: each row names the failure it guards against
      | seed | part                   | failure                                                                    |
      | 1    | the renewals           | holds run out, again after each grant, until somebody restarts the process |
      | 2    | the transfer of a range | the range has no owner until the acting node changes                      |
      | 3    | the feed of a table    | changes are missed until somebody restarts the process                     |
