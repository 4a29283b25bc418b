Feature: The expected service time of a server is never zero

  Scenario Outline: Servers answer within the resolution of the reports
    Given servers whose reports say <answers> answers of 0 ms each
    Then the service time that is expected of each is at least 1 ms
    And a later report of 8 ms raises it

    Examples: each row names the failure it guards against
      | answers | failure                                                                      |
      | 1       | a capacity is divided by zero, which ends the process                        |
      | 100     | no later report is above a multiple of zero, so that the estimate stays there |
