Feature: The service programs start, stop and refuse with documented exit codes

  Scenario Outline: Every program answers for itself
    Given the program <program>
    When its main function gets <arguments>
    Then its exit code is <code> and it prints <text>

    Examples: each row names the failure it guards against
      | program            | arguments                                       | code | text                                          | failure                                       |
      | nutmeglead-entry   | --help                                          | 0    | docs/operators/exit-codes.md                  | an operator finds no help                     |
      | nutmeglead-standin | --help                                          | 0    | --backends TICKET_FILE                        | an operator finds no help                     |
      | nutmeglead-emulate | --help                                          | 0    | docs/operators/exit-codes.md                  | an operator finds no help                     |
      | nutmeglead-entry   | --version                                       | 0    | nutmeglead-entry 0.1.0                        | a report names no version                     |
      | nutmeglead-standin | --version                                       | 0    | nutmeglead-standin 0.1.0                      | a report names no version                     |
      | nutmeglead-emulate | --version                                       | 0    | nutmeglead-emulate 0.1.0                      | a report names no version                     |
      | nutmeglead-entry   | nothing                                         | 2    | --settings                                    | a program starts without settings             |
      | nutmeglead-entry   | --settings @loopback --check                    | 0    | the settings are valid                        | good settings are refused                     |
      | nutmeglead-standin | --settings @loopback --check                    | 0    | the settings are valid                        | good settings are refused                     |
      | nutmeglead-entry   | --settings @faulty --check                      | 3    | user: expected a string, got 7                | a check passes faulty settings                |
      | nutmeglead-entry   | --settings @platform --check                    | 3    | field 'zone'                                  | faulty settings of the platform pass          |
      | nutmeglead-standin | --settings @faulty                              | 3    | user: expected a string, got 7                | a program starts half with faulty settings    |
      | nutmeglead-entry   | --settings absent.jsonc --check                 | 4    | absent.jsonc: expected a readable             | a wrong path ends in a traceback              |
      | nutmeglead-entry   | --settings absent.toml --check                  | 4    | absent.toml: expected a readable              | a wrong path ends in a traceback              |
      | nutmeglead-standin | --settings @loopback --check --backends @ticket | 0    | the settings are valid                        | a good ticket is refused                      |
      | nutmeglead-standin | --settings @loopback --check --backends @other  | 5    | expected one of stock, orders                 | servers of another user are started           |
      | nutmeglead-standin | --settings @loopback --check --backends absent  | 4    | absent: expected a readable                   | a wrong path starts a store without servers   |
      | nutmeglead-emulate | --check @day                                    | 0    | the day is valid                              | a good day is refused                         |
      | nutmeglead-emulate | --check @faulty                                 | 3    | user: expected one of the fields              | a faulty day is played                        |

  Scenario Outline: A program serves until SIGTERM and ends with code 0
    Given the program <program>
    When it runs until <path> was fetched from its <port>
    Then it answered <status> with <text>
    And it logged its start, its stop and its end, and returned DONE
    And its ports are free again

    Examples: each row names the failure it guards against
      | program            | path                           | port         | status | text                       | failure                                          |
      | nutmeglead-entry   | /v1/ready                      | ready_port   | 503    | stock: no range map        | the balancer sends requests to an empty node     |
      | nutmeglead-entry   | /metrics                       | metrics_port | 200    | nutmeglead_store_failures  | the metrics are not served                       |
      | nutmeglead-standin | /v1/rows-get?table=tickets     | store        | 200    | "rows": []                 | the stand-in serves no store                     |
      | nutmeglead-standin | /v2/rows                       | store        | 404    | {}                         | a wrong address passes as an empty table         |

  Scenario Outline: A port that another process holds ends the program with a code
    Given the program <program>
    And another process holds its <port>
    When it runs until it ends
    Then its exit code is 12
    And it did not log its start

    Examples: each row names the failure it guards against
      | program            | port       | failure                                               |
      | nutmeglead-entry   | front_port | a node without its port is taken for a healthy one    |
      | nutmeglead-standin | store      | an outage of the store is taken for a fault elsewhere |

  Scenario: A stop signal ends a program that still waits for a port
    # Guards against a process that goes on with its start, takes callers and is killed at the end of its grace.
    Given the program nutmeglead-entry
    And another process holds its peer_port
    When it gets SIGTERM as soon as it has logged that a port is not free
    Then its exit code is 0
    And it did not log its start
    And its ports but the peer_port are free again

  Scenario: A metrics port that another process holds does not keep the program from serving
    # Guards against a node that ends at each start because of another program's metrics.
    Given the program nutmeglead-entry
    And another process holds its metrics_port
    When it runs until /v1/ready was fetched from its ready_port
    Then it answered 503 with stock: no range map
    And it logged its start, its stop and its end, and returned DONE

  Scenario: The stand-in serves the servers of a ticket that are on loopback, and no others
    Given the program nutmeglead-standin
    And a ticket with stock-1 on loopback, stock-2 on 192.0.2.1 and stock-3 removed on loopback
    When it runs until /health was fetched from its stock-1
    Then it answered 200 with nothing
    And the port of stock-3 was not bound

  Scenario: Changed settings take effect without a signal, and faulty ones do not
    # Guards against bounds that hold until a restart, and against an exit because of a faulty file.
    Given the program nutmeglead-entry
    When its settings file is changed to a drain bound of 3000 ms, and then to a faulty one
    Then it logged SETTINGS_RELOADED and then SETTINGS_KEPT
    And it logged its start, its stop and its end, and returned DONE

  Scenario: The program runs without a standard output
    # Guards against a process that ends at each start where its output is closed.
    Given the settings examples/loopback/domain-a.jsonc
    When the entry program gets SIGHUP after its event loop has closed, with its standard output closed
    Then its exit code is 12 and no traceback is printed

  Scenario Outline: <signal> that comes <moment> does not end the program by the signal
    # Guards against a process that exits with -15 or -1, without a graceful stop, because the signal has its default action
    # before the event loop handles it and after the loop has closed (seeds 1, 511 and 519 of the soak).
    Given the settings examples/loopback/domain-a.jsonc
    When the entry program gets <signal> <moment>
    Then its exit code is <code> and no traceback is printed

    Examples: each row names the failure it guards against
      | signal  | moment                          | code | failure                                         |
      | SIGTERM | while it imports its modules    | 0    | a stop right after the start ends by a signal   |
      | SIGTERM | after its event loop has closed | 12   | a second stop signal replaces the exit code     |
      | SIGHUP  | while it imports its modules    | 12   | a reload right after the start ends the program |
      | SIGHUP  | after its event loop has closed | 12   | a late reload replaces the exit code            |
