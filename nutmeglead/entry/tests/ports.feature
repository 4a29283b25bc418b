Feature: A process waits a while for ports that are not free at its start

  Scenario Outline: A <kind> port is free after <free_ms> ms
    Given a port that another process holds for <free_ms> ms
    When a process binds it as <kind>
    Then it <result> after at most <bound_ms> ms

    Examples: each row names the failure it guards against
      | kind     | free_ms | result           | bound_ms | failure                                                                   |
      | required | 0       | has the port     | 0        | a start takes longer than it has to                                       |
      | required | 3000    | has the port     | 3200     | a process ends by itself, and again, while the one before it still serves |
      | required | 9999999 | has given up     | 5200     | a process without its ports is taken for one that starts                  |
      | optional | 60000   | has the port     | 65000    | metrics that cannot be served end the process                             |
