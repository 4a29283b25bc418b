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
      | a store outage         | file examples/brunner/ticket-1.jsonc         | UNAVAILABLE      | the store did nothing                                 | a script cannot tell an outage from a refusal |
      | lost answers           | file examples/brunner/ticket-1.jsonc         | OUTCOME_UNKNOWN  | file it again with the same filing id                       | the operator changes the id and files twice   |
      | a corrupt head         | list                                         | DATA_CORRUPT     | row head                                                   | a corrupt row is shown as an empty list       |
      | the first ticket       | show 1                                       | DONE             | claim konturablage key konturen-serie-88: ka-01              | claims are left out                           |
      | the first ticket       | show 2                                       | NOT_FOUND        | expected a ticket with the number 2                         | an absent ticket is shown as an empty one     |
      | the first ticket       | list                                         | DONE             | ticket 1 by operator@brunner: place every key               | the base for the next ticket cannot be found  |
      | no ticket              | list                                         | DONE             | head 0                                                      | the first ticket has no base                  |

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
      | missing                     | NOT_IN_FORCE | lagerblick: lb-07 may still hold keys    | 18    | 2000   | the operator does not learn who is missing   |
      | none                        | NOT_IN_FORCE | entry-halle-a-1: no answer              | 18    | 2000   | a VM that cannot be asked counts as in force |

  Scenario: An entry VM that follows an older ticket keeps it from being in force
    Given the platform with the first ticket
    And the entry VMs follow ticket 0
    When the ticket program runs watch 1 --timeout-s 0
    Then it ends with NOT_IN_FORCE and prints entry-halle-a-1: follows ticket 0

  Scenario: Without any entry VM a ticket is not in force
    Given the platform with the first ticket
    And the store lists no entry VM
    When the ticket program runs watch 1 --timeout-s 0
    Then it ends with NOT_IN_FORCE and prints the store lists no entry VM

  Scenario: An outage of the store ends the watch with a typed error
    Given the platform with the first ticket
    And the entry VMs cannot be listed
    When the ticket program runs watch 1
    Then it ends with UNAVAILABLE and prints the store did nothing

  Scenario: JSON results and errors are one object per line
    Given the platform with an overlapping ticket
    When the ticket program runs --json file examples/brunner/ticket-1.jsonc
    Then the JSON error has the type TicketConflict and names item lagerblick/server/lb-01
    When the ticket program runs --json show 1
    Then the JSON ticket has number 1 and server lb-01 with state leaving

  Scenario Outline: The audit program ends with a documented exit code
    Given the platform with <state>
    When the audit program runs <command>
    Then it ends with <code> and prints <text>

    Examples: each row names the failure it guards against
      | state                                                | command                                              | code         | text                                                                         | failure                                       |
      | the first ticket                                     | trail                                                | DONE         | no records                                                                   | an empty trail is an error                    |
      | the first ticket and the move of schnittplan-4711    | trail                                                | DONE         | role taken by entry-halle-a-1; first placement; lb-03 -> lb-05, fence 2, claim | a record is left out                          |
      | the first ticket and the move of schnittplan-4711    | --service konturablage trail                         | DONE         | no records                                                                   | the records of another service are shown      |
      | the first ticket and the move of schnittplan-4711    | --service lagerblick explain schnittplan-4711        | DONE         | owner: lb-05, fence 2; history: 2 moves; may still be held by lb-03          | the history of a key lacks a move             |
      | the first ticket                                     | --service konturablage explain konturen-serie-88     | DONE         | no range map yet; claimed for ka-01 by ticket 1                              | a claim is hidden before the first placement  |
      | the first ticket and a store outage                  | --service lagerblick explain schnittplan-4711        | UNAVAILABLE  | the store did nothing                                                        | an outage is shown as a key without an owner  |
      | the first ticket and a corrupt record                | trail                                                | DATA_CORRUPT | row map-0000000001                                                           | a corrupt record is left out unnoticed        |

  Scenario: An interrupted command has an exit code instead of a traceback
    When a command line is interrupted
    Then it returns INTERRUPTED
