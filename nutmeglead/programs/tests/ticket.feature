Feature: The ticket program reports each result with its exit code

  Scenario Outline: A command line ends with a documented exit code
    Given the platform with <state>
    When the ticket program runs <command>
    Then it ends with <code> and prints <text>

    Examples: each row names the failure it guards against
      | state                  | command                                      | code             | text                                                        | failure                                       |
      | no ticket              | --check                                      | DONE             | the settings are valid                                      | a good file is refused                        |
      | bad settings           | list                                         | SETTINGS_REFUSED | user: expected a string, got 7                              | a program starts half with faulty settings    |
      | bad settings           | --check                                      | SETTINGS_REFUSED | user: expected a string, got 7                              | a check passes faulty settings                |
      | no ticket              | check examples/brunner/ticket-1.jsonc        | DONE             | a valid ticket with 40 items                                | a good ticket is refused                      |
      | no ticket              | check examples/cubo/ticket-1.jsonc           | TICKET_REFUSED   | servers[0].service_name: expected one of                    | a ticket of another user is filed             |
      | no ticket              | check absent.jsonc                           | FILE_UNREADABLE  | absent.jsonc: expected a readable UTF-8 file                | a wrong path ends in a traceback              |
      | no ticket              | file examples/brunner/ticket-1.jsonc         | DONE             | is filed as ticket 1                                        | the operator does not learn the number        |
      | the first ticket       | file examples/brunner/ticket-1.jsonc         | DONE             | was filed before as ticket 1                                | a repeated run files the ticket twice         |
      | an overlapping ticket  | file examples/brunner/ticket-1.jsonc         | TICKET_CONFLICT  | servers[0] (lagerblick/server/lb-01) collides with ticket 1 | a script takes a conflict for an outage       |
      | an overlapping ticket  | check --head examples/brunner/ticket-1.jsonc | TICKET_CONFLICT  | servers[0] (lagerblick/server/lb-01) collides with ticket 1 | a check promises what filing refuses          |
      | no ticket              | check --head examples/brunner/ticket-1.jsonc | DONE             | it could follow the head 0                                  | a check without a conflict is refused         |
      | a table outage         | file examples/brunner/ticket-1.jsonc         | UNAVAILABLE      | did not apply the operation                                 | a script cannot tell an outage from a refusal |
      | lost answers           | file examples/brunner/ticket-1.jsonc         | OUTCOME_UNKNOWN  | file it again with the same filing id                       | the operator changes the id and files twice   |
      | a corrupt head         | list                                         | DATA_CORRUPT     | row ticket/head                                             | a corrupt row is shown as an empty list       |
      | the first ticket       | show 1                                       | DONE             | claim konturablage prefix konturen/serie-88/: ka-01         | claims are left out                           |
      | the first ticket       | show 2                                       | NOT_FOUND        | expected a ticket with the number 2                         | an absent ticket is shown as an empty one     |
      | the first ticket       | list                                         | DONE             | ticket 1 by operator@brunner: place every key               | the base for the next ticket cannot be found  |
      | no ticket              | list                                         | DONE             | head 0                                                      | the first ticket has no base                  |
      | an object store outage | file examples/brunner/ticket-1.jsonc         | DONE             | is filed as ticket 1                                        | an accepted ticket is reported as failed      |

  Scenario Outline: Watching ends when every entry VM has the ticket in force, or at the timeout
    Given the platform with the first ticket
    And the entry VMs answer <answers>
    When the ticket program runs watch 1 --timeout-s 2
    Then it ends with <code> and prints <text>
    And <asked> questions were asked in <waited> ms

    Examples: each row names the failure it guards against
      | answers                     | code         | text                                    | asked | waited | failure                                      |
      | in force                    | DONE         | ticket 1 is in force everywhere         | 2     | 0      | one VM's word counts for all                 |
      | missing, missing, in force  | DONE         | ticket 1 is in force everywhere         | 4     | 250    | the first answer is final                    |
      | in force, missing, in force | DONE         | ticket 1 is in force everywhere         | 4     | 250    | one VM's word counts for all                 |
      | missing                     | NOT_IN_FORCE | lb-07: no acknowledgement of its grants | 18    | 2000   | the operator does not learn who is missing   |
      | none                        | NOT_IN_FORCE | entry-halle-a-1: no answer              | 18    | 2000   | a VM that cannot be asked counts as in force |

  Scenario: Without any entry VM in the VM list a ticket is not in force
    Given the platform with the first ticket
    And the VM list names only gone and backend VMs
    When the ticket program runs watch 1 --timeout-s 0
    Then it ends with NOT_IN_FORCE and prints the VM list names no entry VM

  Scenario: An outage of the VM list ends the watch with a typed error
    Given the platform with the first ticket
    And the VM list is down
    When the ticket program runs watch 1
    Then it ends with UNAVAILABLE and prints the VM list did not answer

  Scenario: JSON results and errors are one object per line
    Given the platform with an overlapping ticket
    When the ticket program runs --json file examples/brunner/ticket-1.jsonc
    Then the JSON error has the type TicketConflict and names item lagerblick/server/lb-01
    When the ticket program runs --json show 1
    Then the JSON ticket has number 1 and server lb-01 with state leaving

  Scenario: A filing is in the audit trail, and the trail program prints it
    Given the platform with the first ticket
    When the audit program runs --service konturablage trail
    Then it ends with DONE and prints ticket_accepted brunner-first-servers ticket 1
    And it does not print lagerblick
    When the audit program runs trail --day 1999-01-01
    Then it ends with DONE and prints no records

  Scenario Outline: A key is explained from the table and the trail
    Given the platform with <state>
    When the audit program runs --service konturablage explain konturen/serie-88/7
    Then it ends with <code> and prints <text>

    Examples: each row names the failure it guards against
      | state                                       | code         | text                                           | failure                                       |
      | the first ticket                            | DONE         | ticket 1 claims it for ka-01; operator@brunner | -                                             |
      | the first ticket and a table outage         | UNAVAILABLE  | did not apply the operation                    | an outage is shown as a key without an owner  |
      | the first ticket and a corrupt page         | DATA_CORRUPT | row page/konturablage/hash/0                   | a corrupt page is shown as keys without owner |
      | the first ticket and an object store outage | DONE         | the history is missing                         | the owner is hidden by a missing history      |

  Scenario: An interrupted command has an exit code instead of a traceback
    When a command line is interrupted
    Then it returns INTERRUPTED

  Scenario: The history of an explanation can be limited to a day
    Given the platform with the first ticket and the move of schnittplan-4711
    When the audit program runs --service lagerblick explain schnittplan-4711 --day 1999-01-01
    Then it ends with DONE and prints owner: lb-05; history: 0 records
    When the audit program runs --service lagerblick explain schnittplan-4711 --day 2026-12-06
    Then it ends with DONE and prints owner: lb-05; history: 1 record

  Scenario Outline: A service program starts its service only with valid settings
    When a service program runs with <settings> settings and <option>
    Then it returns <code> and has built <count> services

    Examples: each row names the failure it guards against
      | settings | option  | code             | count | failure                                    |
      | valid    | nothing | DONE             | 1     | the service does not run                   |
      | valid    | --check | DONE             | 0     | a check binds ports                        |
      | faulty   | nothing | SETTINGS_REFUSED | 0     | a program starts half with faulty settings |
      | faulty   | --check | SETTINGS_REFUSED | 0     | a check passes faulty settings             |

  Scenario: The programs work over HTTP and rpc against the stand-in
    Given the stand-in of the platform and an entry VM on loopback
    When the ticket program files examples/brunner/ticket-1.jsonc, lists and watches it
    Then all end with DONE, the list shows ticket 1 and the entry VM was asked for ticket 1
    And the audit trail is read over HTTP with 3 records
