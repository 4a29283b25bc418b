Feature: The operators' pages say what the programs do

  Scenario Outline: The examples of a page give what it shows
    Given the page docs/operators/<page>
    Then its <count> examples give what the page shows

    Examples: each row names the failure it guards against
      | page              | count | failure                                                |
      | file-a-ticket.md  | 7     | an operator follows a command that no longer exists    |
      | read-a-refusal.md | 9     | an operator looks for a message that no longer exists  |
      | plan-a-move.md    | 7     | an operator reads an explanation that has another form |
      | install.md        | 5     | a balancer probes a path or port that does not exist   |
      | lose-a-server.md  | 5     | an operator looks for a metric that does not exist     |
      | lose-a-failure-domain.md | 4 | an operator takes a lost entry VM for a lost ticket |
      | table-outage.md   | 6     | an operator takes an outage for a refusal              |

  Scenario: The page of alarms lists every metric of both processes
    Given the page docs/operators/alarms.md
    Then its table "Metrics" lists exactly the metrics of the router and the controller

  Scenario: The page of alarms says what each serious event asks for
    Given the page docs/operators/alarms.md
    Then its table "Events" lists every event of level WARNING or ERROR with number and name

  Scenario: The page of installation lists every port
    Given the page docs/operators/install.md
    Then its table "Ports" lists every port of the settings with its default

  Scenario: Links between the pages lead somewhere
    Then every relative link of README.md and of the operators' pages names a file

  Scenario: The catalogue of exit codes equals the code
    Given the page docs/operators/exit-codes.md
    Then its table lists every ExitCode with its number and name

  Scenario: The catalogue of log events equals the code
    Given the page docs/events.md
    Then its table lists every Event with number, name, level and meaning
    And every event number occurs once

  Scenario: Every error of tickets, settings and platform has an exit code of its own
    Then no error class of these packages ends with DEFECT

  Scenario: Change fragments follow their convention
    Then every fragment in docs/changes has a permitted name and length

  Scenario: The glossary defines each term once, and the terms that settings use
    Given the page docs/glossary.md
    Then each term has one row with three filled columns
    And the terms VM, failure domain, user, backend server, ticket, unit, lease, pin and gate are among them

  Scenario: The page of settings equals the schema
    Given the page docs/operators/settings.md
    Then its table lists every setting with path, default and permitted range
