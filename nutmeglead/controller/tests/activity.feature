Feature: A controller measures moves, handovers and imbalance

  Scenario Outline: The duration of a handover covers the time without an owner
    Given a placed service whose activity is observed
    When <event> happens
    Then each key without an owner was measured for at least that time and at most <excess_ms> ms more

    Examples: each row names the failure it guards against
      | event                              | excess_ms | failure                                                |
      | a planned move                     | 50        | a planned move counts as no time without an owner      |
      | a frozen server                    | 300       | the time before a loss is detected is not counted      |
      | a frozen server in a table outage  | 300       | keys wait for the table and the metric shows nothing   |
      | a frozen server and its new owner  | 300       | a second loss during a handover begins a new count     |
      | a claimed key whose grant is late  | 50        | a unit counts as served before its owner may serve it  |
      | a claimed key that is claimed again | 50       | a handover that is redirected begins a new count       |

  Scenario Outline: Moves are counted by reason
    Given a placed service whose activity is observed
    When <event> happens
    Then all moves of the audit trail are counted, with the reasons <reasons>

    Examples: each row names the failure it guards against
      | event           | reasons        | failure                                     |
      | a planned move  | server_leaving | churn of tickets passes as churn of losses  |
      | a frozen server | server_lost    | churn of losses passes as churn of tickets  |
      | a claimed key   | ticket_claim   | churn of a claim is not counted             |

  Scenario: Units that wait for the table are visible while they wait
    Given a placed service whose activity is observed
    When a frozen server is not replaced for 4000 ms because the table is down
    Then the metrics show units of lost servers
    And the unit that waits longest has waited from 3900 to 4300 ms
    When the table is up again for 3000 ms
    Then no unit waits

  Scenario: The metrics of a service come from the acting controller only
    Given a placed service whose activity is observed
    When a frozen server happens
    Then the metrics show
      | metric                                                              | value   |
      | nutmeglead_controller_acting{service="lagerblick"}                  | 1.0     |
      | nutmeglead_servers_lost{service="lagerblick"}                       | 1.0     |
      | nutmeglead_units_pending{service="lagerblick"}                      | 0.0     |
      | nutmeglead_units_of_lost_servers{service="lagerblick"}              | 0.0     |
      | nutmeglead_unserved_oldest_seconds{service="lagerblick"}            | 0.0     |
      | nutmeglead_units_moved_total{reason="server_lost",service="lagerblick"} | moves |
      | nutmeglead_handover_seconds_count{service="lagerblick"}             | moves   |
    And the imbalance is the load of the fullest server over the mean
    When the metrics are updated again
    Then the metrics show
      | metric                                                              | value   |
      | nutmeglead_units_moved_total{reason="server_lost",service="lagerblick"} | moves |
    When the controller loses its role
    Then the metrics show
      | metric                                                              | value   |
      | nutmeglead_controller_acting{service="lagerblick"}                  | 0.0     |
      | nutmeglead_servers_lost{service="lagerblick"}                       | absent  |
      | nutmeglead_placement_imbalance{service="lagerblick"}                | absent  |
      | nutmeglead_units_moved_total{reason="server_lost",service="lagerblick"} | moves |
