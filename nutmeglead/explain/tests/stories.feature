Feature: Logs explain what became of a request or of a key

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

  Scenario: The life of a request
    # Guards against lines of other servers, nodes and keys that hide the cause.
    When the request r1 is explained
    Then the story has the events PROGRAM_STARTED, RANGE_MOVED, SERVER_CHANGED, REQUEST_FAILED

  Scenario: The life of a key
    # Guards against moves of other keys in the story.
    When the key 7 is explained
    Then the story has the events RANGE_MOVED, REQUEST_FAILED, RANGE_GRANTED

  Scenario: A request that no log has
    # Guards against an empty answer that looks like success.
    When the request r2 is explained
    Then the program says so and exits with 1

  Scenario: Lines that are no events are passed over
    # Guards against an exit on a cut line or a foreign line.
    Given a cut line and a foreign line
    When the request r1 is explained
    Then the story has the events PROGRAM_STARTED, RANGE_MOVED, SERVER_CHANGED, REQUEST_FAILED
