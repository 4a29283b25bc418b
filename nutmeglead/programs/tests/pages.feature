Feature: The operators' pages say what the programs do

  Scenario Outline: The examples of a page give what it shows
    Given the page docs/operators/<page>
    Then its <count> examples give what the page shows

    Examples: each row names the failure it guards against
      | page              | count | failure                                                |
      | file-a-ticket.md  | 7     | an operator follows a command that no longer exists    |
      | read-a-refusal.md | 9     | an operator looks for a message that no longer exists  |
      | plan-a-move.md    | 6     | an operator reads an explanation that has another form |
      | install.md        | 3     | an operator checks settings with a program that is gone |

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
    And the terms VM, failure domain, user, backend server, ticket, key range, fence, hold and life are among them

  Scenario: The page of settings equals the schema
    Given the page docs/operators/settings.md
    Then its table lists every setting with path, default and permitted range
