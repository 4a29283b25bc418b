Feature: Settings are loaded as a whole, or refused with every fault and its path

  Scenario Outline: A wrong setting is refused with its path
    Given the example settings of brunner
    When <change>
    Then the settings are refused with only the fault "<fault>"

    Examples: wrong fields and types; each row names the failure it guards against
      | change                                            | fault                                                                        | failure                                                    |
      | services[0].timeout is set to {}                   | services[0].timeout: expected one of the fields *, got an unknown field       | a misspelt section leaves the defaults in force unnoticed  |
      | node.ip is removed                                | node.ip: expected a string, got no such field                                | a program starts without an address                        |
      | user is set to 7                                  | user: expected a string, got 7                                               | a number becomes part of a row key                         |
      | services is set to {}                             | services: expected a list, got an object with 0 fields                       | an object in place of a list ends in a traceback           |
      | node is set to []                                 | node: expected an object, got a list of 0                                    | a list in place of an object ends in a traceback           |
      | services[1].idempotent is set to 1                | services[1].idempotent: expected true or false, got 1                        | an order counts as idempotent because of a 1               |
      | services[1].slots_per_instance is set to true     | services[1].slots_per_instance: expected a whole number of 32 bits, got true | true passes as 1 slot                                      |
      | services[1].slots_per_instance is set to 4.0      | services[1].slots_per_instance: expected a whole number of 32 bits, got 4.0  | a float index reaches an array                             |
      | node.front_port is set to 4294967296             | node.front_port: expected a whole number of 32 bits, got 4294967296         | a number wraps when it is encoded                          |
      | node.front_port is set to null                   | node.front_port: expected a whole number of 32 bits, got null               | null replaces a default                                    |
      | user is set to "\ud800"                           | user: expected a string, got "\ud800"                                        | half of a surrogate pair raises when the ticket is encoded |
      | failure_domains[0].name is set to null            | failure_domains[0].name: expected a string, got null                         | a domain without a name                                    |

    Examples: wrong values; each row names the failure it guards against
      | change                                                      | fault                                                                                      | failure                                                    |
      | node.front_port is set to 70000                            | node.front_port: expected a whole number from 1 to 65 535, got 70000                      | the listener fails after the other parts have started      |
      | node.ready_port is set to 8080                       | node.ready_port: expected a port other than that of front_port, got 8080           | the second listener cannot bind                            |
      | node.ip is set to "entry-1"                                 | node.ip: expected an IP address, got "entry-1"                                             | a name in place of an address is resolved on the hot path  |
      | node.failure_domain is set to "keller"                      | node.failure_domain: expected one of halle-a, halle-b, buero, got "keller"                 | renewers of one server share a failure domain              |
      | services[1].name is set to "schnitt/auftrag"                | services[1].name: expected a name of the form *, got "schnitt/auftrag"                     | a slash splits a row key or URL path in the wrong place    |
      | store.ip is set to "10.0.0"                                 | store.ip: expected an IP address, got "10.0.0"                                             | a cut address leaves the program without a store           |
      | bounds is set to {"retry_ratio": 7}                         | bounds.retry_ratio: expected a number from 0 to 1, got 7.0                                 | retries multiply the load of an overloaded service         |
      | bounds is set to {"retry_ratio": NaN}                       | bounds.retry_ratio: expected a number, got NaN                                             | NaN passes every range check that compares with `<`        |
      | bounds is set to {"max_hold_ms": 500}                       | bounds.max_hold_ms: expected a whole number from 1 200 to 3 600 000 ms, got 500            | a hold ends between two renewals                           |
      | bounds is set to {"leave_ms": 100}                          | bounds.leave_ms: expected a whole number from 1 000 to 60 000 ms, got 100                  | a leaving server is not used for its own handover          |
      | services[0].target_latency_ms is set to 9000                | services[0].target_latency_ms: expected at most timeout_ms (1500), got 9000                | a request is never late, and always refused                |
      | services[0].health_path is set to "health"                  | services[0].health_path: expected a path that begins with a slash, got "health"            | a health check is no valid request                         |
      | services[0].slots_per_instance is set to 0                  | services[0].slots_per_instance: expected a whole number from 1 to 10 000, got 0            | a share of no slots divides by zero                        |
      | log is set to {"level": "LOUD"}                             | log.level: expected one of DEBUG, INFO, WARNING, ERROR, CRITICAL, got "LOUD"               | logging raises after the start                             |
      | services is set to []                                       | services: expected a list of at least 1, got a list of 0                                   | a router without services answers 404 to everything        |

  Scenario: A service name that occurs twice is reported with both paths
    Given the example settings of brunner
    When services[1].name is set to "lagerblick"
    Then the settings are refused with the paths "services[0].name, services[1].name"

  Scenario: All faults of a file are reported at once
    # Guards against a loader that stops at the first fault, so that each run shows one more.
    Given the example settings of brunner
    When services[2].slots_per_instance is set to "four"
    And node.failure_domian is set to "buero"
    And store is removed
    Then the settings are refused with the paths "node.failure_domian, services[2].slots_per_instance, store"

  Scenario Outline: Text that is not one JSON object is refused without a traceback
    Given the settings text <text>
    Then one of the faults is "<fault>"

    Examples: each row names the failure it guards against
      | text                       | fault                                                              | failure                                     |
      | {"user": "a", "user": "b"} | user: expected each field once, got the field more than once       | the second of two equal names silently wins |
      | {"user": /* open           | line 1 column 10: expected JSON with comments, got Expecting value | a cut file ends in a traceback              |
      | []                         | (top level): expected an object, got a list of 0                   | a list ends in a traceback                  |

  Scenario: A settings file that does not exist gives a typed error
    # Guards against an OSError that leaves the loader and ends the program in a traceback.
    Given settings that are loaded from a path that does not exist
    Then loading gives FileUnreadable

  Scenario: Absent optional sections are created with their defaults
    # Guards against an absent section that stays None, so that its fields cannot be read.
    Given the example settings of brunner
    Then the loaded leave_ms is 2000, retry_ratio is 0.2 and the first region is "aargau"

  Scenario: Any JSON value in place of any setting is accepted or refused, and never raises
    # Guards against a value that passes the type checks and raises in a later check.
    Given the example settings of brunner
    Then each of 300 generated changes gives settings or typed faults
