Feature: The admin port tells whether a process can serve

  Scenario Outline: Probes and metrics
    Given an admin server of a process that lacks <missing>
    When <path> is fetched
    Then the status is <status>
    And the body contains <text>

    Examples: each row names the failure it guards against
      | missing | path     | status | text                  | failure                                           |
      | nothing | /readyz  | 200    | "ready": true         | the balancer passes over a process that can serve |
      | a map   | /readyz  | 503    | "a map"               | the balancer sends requests to an empty process   |
      | a map   | /healthz | 200    | "healthy": true       | a process that waits for the platform is ended    |
      | nothing | /metrics | 200    | admin_probe_total 3.0 | counters do not reach the collector               |
      | nothing | /other   | 404    | unknown path          | a wrong probe path passes as healthy              |
