Feature: The router process connects the request path with the other routers

  Scenario Outline: A router process lends and borrows slots of a service with the policy lent
    Given a router process with a lent service of 4 slots and the controller that feeds it
    When the controller tells it of <routers> more routers, of which <known> have an address
    Then it lends <lent> of 4 slots to the first of them
    And it <asks> when a request waits for a slot

    Examples: each row names the failure it guards against
      | routers | known | lent | asks             | failure                                                        |
      | 1       | 1     | 2    | asks that router | the process has no handler for loans or keeps its first share  |
      | 3       | 1     | 1    | asks that router | routers without an address are forgotten and slots given twice |
      | 1       | 0     | 2    | asks no router   | a router without an address ends the round of questions        |
