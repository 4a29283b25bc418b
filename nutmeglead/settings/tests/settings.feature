Feature: Settings are loaded whole or refused with every fault and its path

  Scenario Outline: A wrong setting is refused with its path
    Given the example settings of brunner
    When <change>
    Then the settings are refused with only the fault "<fault>"

    Examples: form
      | change                                            | fault                                                                        | failure                                                    |
      | services[0].retrys is set to {}                   | services[0].retrys: expected one of the fields *, got an unknown field       | a misspelt section leaves the defaults in force unnoticed  |
      | node.ip is removed                                | node.ip: expected a string, got no such field                                | a program starts without an address                        |
      | user is set to 7                                  | user: expected a string, got 7                                               | a number becomes part of a row key                         |
      | services is set to {}                             | services: expected a list, got an object with 0 fields                       | an object in place of a list ends in a traceback           |
      | node is set to []                                 | node: expected an object, got a list of 0                                    | a list in place of an object ends in a traceback           |
      | services[1].idempotent is set to 1                | services[1].idempotent: expected true or false, got 1                        | an order counts as idempotent because of a 1               |
      | services[1].slots_per_instance is set to true     | services[1].slots_per_instance: expected a whole number of 32 bits, got true | true passes as 1 slot                                      |
      | services[1].slots_per_instance is set to 4.0      | services[1].slots_per_instance: expected a whole number of 32 bits, got 4.0  | a float index reaches an array                             |
      | node.router_port is set to 4294967296             | node.router_port: expected a whole number of 32 bits, got 4294967296         | a number wraps when it is encoded                          |
      | node.router_port is set to null                   | node.router_port: expected a whole number of 32 bits, got null               | null replaces a default                                    |
      | services[0].placement.max_imbalance is set to NaN | services[0].placement.max_imbalance: expected a number, got NaN              | NaN passes every range check that compares with `<`        |
      | user is set to "\ud800"                           | user: expected a string, got "\ud800"                                        | half of a surrogate pair raises when the ticket is encoded |
      | failure_domains[0].name is set to null            | failure_domains[0].name: expected a string, got null                         | a domain without a name                                    |

    Examples: meaning
      | change                                                      | fault                                                                                      | failure                                                    |
      | services[2].retries is set to {"budget_ratio": 7}           | services[2].retries.budget_ratio: expected a number from 0 to 1, got 7.0                   | retries multiply the load of an overloaded service         |
      | node.router_port is set to 70000                            | node.router_port: expected a whole number from 1 to 65 535, got 70000                      | the listener fails after the other parts have started      |
      | node.router_admin_port is set to 8080                       | node.router_admin_port: expected a port other than that of router_port, got 8080           | the second listener cannot bind                            |
      | node.ip is set to "entry-1"                                 | node.ip: expected an IP address, got "entry-1"                                             | a name in place of an address is resolved on the hot path  |
      | platform.vm_list.ip is set to "10.0.0"                      | platform.vm_list.ip: expected an IP address, got "10.0.0"                                  | a cut address leaves the program without a VM list         |
      | node.failure_domain is set to "keller"                      | node.failure_domain: expected one of halle-a, halle-b, buero, got "keller"                 | renewers of one server share a failure domain              |
      | services[0].hash_buckets is set to 1000                     | services[0].hash_buckets: expected a power of two, got 1000                                | the top bits of the hash name a bucket that does not exist |
      | services[0].placement.policy is set to "stedy"              | services[0].placement.policy: expected one of balanced, steady, got "stedy"                | an unknown policy fails at the first planning round        |
      | services[0].selection is set to "random"                    | services[0].selection: expected one of least_in_flight, got "random"                       | an unknown policy fails at the first request               |
      | dissemination is set to {"push_strategy": "flood"}          | dissemination.push_strategy: expected one of domain_tree, got "flood"                      | an unknown strategy fails at the first delta               |
      | services[1].name is set to "schnitt/auftrag"                | services[1].name: expected a name of the form *, got "schnitt/auftrag"                     | a slash splits a row key or URL path in the wrong place    |
      | ownership is set to {"renew_interval_ms": 600}              | ownership.renew_interval_ms: expected at most 1/2 of lease_ttl_ms (1000), got 600          | one lost renewal ends a lease                              |
      | ownership is set to {"renewers_per_server": 4}              | ownership.renewers_per_server: expected an odd number, got 4                               | a majority of four tolerates no more losses than of three  |
      | ownership is set to {"lease_ttl_ms": 60000}                 | ownership.lease_ttl_ms: expected a whole number from 100 to 1 500 ms, got 60000            | a lost server's keys wait a minute                         |
      | audit is set to {"batch_max_records": 20000}                | audit.batch_max_records: expected at most buffer_max_records (10000), got 20000            | a batch never fills, so it is never written                |
      | log is set to {"level": "LOUD"}                             | log.level: expected one of DEBUG, INFO, WARNING, ERROR, CRITICAL, got "LOUD"               | logging raises after the start                             |
      | services[0].ejection is set to {"min_available_percent": 0} | services[0].ejection.min_available_percent: expected a whole number from 1 to 100 %, got 0 | one router's view ejects a whole failure domain            |
      | services is set to []                                       | services: expected a list of at least 1, got a list of 0                                   | a router without services answers 404 to everything        |
      | services[0].admission is set to {"share_percent": 70}       | services: expected admission shares below 100 % with a sum of at most 99 %, got 100 %      | orders get no exchanges at all                             |

  Scenario: A name that occurs twice is reported at both places
    Given the example settings of brunner
    When services[1].name is set to "lagerblick"
    Then the settings are refused with the paths "services[0].name, services[1].name"

  Scenario: All faults of a file are reported at once
    Given the example settings of brunner
    When services[2].slots_per_instance is set to "four"
    And node.failure_domian is set to "buero"
    And platform.table_service is removed
    Then the settings are refused with the paths "node.failure_domian, platform.table_service, services[2].slots_per_instance"

  Scenario Outline: Text that is not one JSON object is refused without a traceback
    Given the settings text <text>
    Then one of the faults is "<fault>"

    Examples: each row names the failure it guards against
      | text                       | fault                                                              | failure                                     |
      | {"user": "a", "user": "b"} | user: expected each field once, got the field more than once       | the second of two equal names silently wins |
      | {"user": /* open           | line 1 column 10: expected JSON with comments, got Expecting value | a cut file ends in a traceback              |
      | []                         | (top level): expected an object, got a list of 0                   | a list ends in a traceback                  |

  Scenario: A file that is absent is refused with a typed error
    Given settings that are loaded from a path that does not exist
    Then loading gives FileUnreadable

  Scenario: Absent optional sections are created with their defaults
    Given the example settings of brunner
    Then the loaded lease time is 1000 ms, the retry budget of service 0 is 0.1 and the region "aargau"

  Scenario: A kind of policy without a registry is left to the program that uses it
    Given the example settings of brunner
    And no policy registries
    When services[0].selection is set to "random"
    Then the settings are accepted

  Scenario: Any JSON in place of any value is accepted or refused, and never raises
    Given the example settings of brunner
    Then 300 generated changes give settings or typed faults
