Feature: The service programs start, stop and refuse with documented exit codes

  Scenario Outline: Every program answers for itself
    Given the program <program>
    When its main function gets <arguments>
    Then its exit code is <code> and it prints <text>

    Examples: each row names the failure it guards against
      | program               | arguments                                                               | code | text                                           | failure                                       |
      | nutmeglead-router     | --help                                                                  | 0    | docs/operators/exit-codes.md                   | an operator finds no help                     |
      | nutmeglead-controller | --help                                                                  | 0    | docs/operators/exit-codes.md                   | an operator finds no help                     |
      | nutmeglead-standin    | --help                                                                  | 0    | --backends TICKET_FILE                         | an operator finds no help                     |
      | nutmeglead-router     | --version                                                               | 0    | nutmeglead-router 0.1.0                        | a report names no version                     |
      | nutmeglead-controller | --version                                                               | 0    | nutmeglead-controller 0.1.0                    | a report names no version                     |
      | nutmeglead-standin    | --version                                                               | 0    | nutmeglead-standin 0.1.0                       | a report names no version                     |
      | nutmeglead-router     | nothing                                                                 | 2    | --settings                                     | a program starts without settings             |
      | nutmeglead-router     | --settings @loopback --check                                            | 0    | the settings are valid                         | good settings are refused                     |
      | nutmeglead-controller | --settings @loopback --check                                            | 0    | the settings are valid                         | good settings are refused                     |
      | nutmeglead-standin    | --settings @loopback --check                                            | 0    | the settings are valid                         | good settings are refused                     |
      | nutmeglead-router     | --settings @faulty --check                                              | 3    | user: expected a string, got 7                 | a check passes faulty settings                |
      | nutmeglead-controller | --settings @faulty                                                      | 3    | SETTINGS_REFUSED                               | a program starts half with faulty settings    |
      | nutmeglead-standin    | --settings @faulty                                                      | 3    | user: expected a string, got 7                 | a program starts half with faulty settings    |
      | nutmeglead-router     | --settings absent.jsonc                                                 | 4    | absent.jsonc: expected a readable              | a wrong path ends in a traceback              |
      | nutmeglead-standin    | --settings @loopback --check --backends @ticket                         | 0    | the settings are valid                         | a good ticket is refused                      |
      | nutmeglead-standin    | --settings @loopback --check --backends @other                          | 5    | expected one of stock, orders                  | servers of another user are started           |
      | nutmeglead-standin    | --settings @loopback --check --backends absent.jsonc                    | 4    | absent.jsonc: expected a readable              | a wrong path starts a platform without server |
      | nutmeglead-standin    | --settings @loopback --check --entry-vm @faulty                         | 3    | user: expected a string, got 7                 | the VM list lacks an entry VM                 |

  Scenario Outline: A program serves until SIGTERM and ends with code 0
    Given the program <program>
    When it runs until <path> was fetched from its <port>
    Then it answered <status> with <text>
    And it logged its start, its stop and its end, and returned DONE
    And its ports are free again

    Examples: each row names the failure it guards against
      | program               | path              | port                  | status | text                           | failure                                          |
      | nutmeglead-router     | /healthz          | router_admin_port     | 200    | "healthy": true                | a router that waits for the platform is replaced |
      | nutmeglead-router     | /readyz           | router_admin_port     | 503    | the unit map is not complete   | the balancer sends requests to an empty router   |
      | nutmeglead-controller | /healthz          | controller_admin_port | 200    | "healthy": true                | a controller ends while the platform is down     |
      | nutmeglead-controller | /metrics          | controller_admin_port | 200    | nutmeglead_controller_acting   | the metrics of a controller are not served       |
      | nutmeglead-standin    | /scan/ticket%2F   | table_service         | 200    | []                             | the stand-in serves no table                     |
      | nutmeglead-standin    | /names/audit      | object_store          | 200    | []                             | the stand-in serves no object store              |
      | nutmeglead-standin    | /vms              | vm_list               | 200    | entry-a                        | the entry VM is missing in the VM list           |
      | nutmeglead-standin    | /rows/ticket%2F1  | object_store          | 404    | nothing                        | a wrong address passes as an empty table         |

  Scenario Outline: A port that another process holds ends the program with a code
    Given the program <program>
    And another process holds its <port>
    When it runs until it ends
    Then its exit code is 12 and it prints could not be bound
    And it did not log its start

    Examples: each row names the failure it guards against
      | program               | port                | failure                                                  |
      | nutmeglead-router     | router_port         | a router without its port is taken for a healthy one     |
      | nutmeglead-controller | controller_rpc_port | a controller without its port is taken for a healthy one |
      | nutmeglead-standin    | table_service       | an outage of the table is taken for a fault elsewhere    |

  Scenario: A router that is told to stop finishes the request in flight and refuses to be ready
    Given the program nutmeglead-router
    When it gets SIGTERM while a caller has sent half of a request
    Then the readiness probe got 503 with the router is stopping
    And the caller got a whole answer
    And it logged its start, its stop and its end, and returned DONE

  Scenario: The stand-in serves the servers of a ticket that are on loopback, and no others
    Given the program nutmeglead-standin
    And a ticket with stock-1 on loopback, stock-2 on 192.0.2.1 and stock-3 removed on loopback
    When it runs until /load was fetched from its stock-1
    Then it answered 200 with "running": 0
    And the VM list names the backend servers stock-1
    And the port of stock-3 was not bound
