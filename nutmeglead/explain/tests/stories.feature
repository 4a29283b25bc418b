Feature: Log lines of many nodes explain a request or a key

  Background:
    Given the logs of two nodes
      | time | node | event           | fields                                                                                 |
      | 1.0  | a    | PROGRAM_STARTED | {}                                                                                     |
      | 2.0  | b    | RANGE_MOVED     | {"first": 0, "last": 99, "server": "s-2", "map": 4}                                    |
      | 2.1  | a    | SERVER_CHANGED  | {"server": "s-1", "state": "removed"}                                                  |
      | 2.2  | b    | SERVER_CHANGED  | {"server": "s-9", "state": "removed"}                                                  |
      | 2.5  | a    | REQUEST_FAILED  | {"request": "r1", "key": 7, "attempts": ["s-1:broken"], "failure": "no room", "map": 3} |
      | 2.6  | b    | RANGE_GRANTED   | {"first": 0, "last": 99, "server": "s-2"}                                              |
      | 9.0  | a    | RANGE_MOVED     | {"first": 500, "last": 600, "server": "s-3", "map": 5}                                 |

  Scenario: A request is explained by its own lines and the state changes before it
    # Guards against unrelated lines in the output, when changes of other servers, nodes and key
    # ranges are logged at the same time.
    When the request r1 is explained
    Then the explanation lists the events PROGRAM_STARTED, RANGE_MOVED, SERVER_CHANGED, REQUEST_FAILED

  Scenario: A key is explained by the moves and grants of its range and its failed requests
    # Guards against moves of ranges that do not include the key in the output.
    When the key 7 is explained
    Then the explanation lists the events RANGE_MOVED, REQUEST_FAILED, RANGE_GRANTED

  Scenario: A request that is in no log is an error
    # Guards against an empty output with exit code 0, which looks like success.
    When the request r2 is explained
    Then the program reports that no line was found and exits with 1

  Scenario: Lines without an event are skipped
    # Guards against a parse error that ends the program, from a line that is truncated or was
    # written by another program.
    Given a truncated line and two lines of other programs
    When the request r1 is explained
    Then the explanation lists the events PROGRAM_STARTED, RANGE_MOVED, SERVER_CHANGED, REQUEST_FAILED
