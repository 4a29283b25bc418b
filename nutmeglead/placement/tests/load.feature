Feature: Load reports of many routers merge into present rates

  Scenario Outline: Delivery faults change no rate
    Given 3 routers that each count 100 requests/s on bucket 5 and 50 requests/s on the pin "gear"
    When their reports of 60 s arrive <delivery>
    Then bucket 5 is at 300 requests/s and the pin at 150 requests/s, within 10%

    Examples: each row names the failure it guards against
      | delivery                              | failure                                             |
      | in order                              | rates are wrong without any fault                   |
      | twice each                            | a repeated report is counted twice                  |
      | in pairs of exchanged order           | a report that was overtaken is dropped              |
      | twice each, in reversed groups of ten | repeated and reordered reports are counted twice    |
      | with a restart of one router          | reports of a new incarnation are refused as old     |

  Scenario: A silent router's share ages out
    Given 3 routers that each count 100 requests/s on bucket 5 and 50 requests/s on the pin "gear"
    When their reports of 60 s arrive in order
    And one router is silent for 60 s while the others go on
    Then bucket 5 is at 200 requests/s and the pin at 100 requests/s, within 10%

  Scenario Outline: Load that is not known is not given as load
    Given a merger that <history>
    Then its snapshot is <state>

    Examples: each row names the failure it guards against
      | history                                | state   | failure                                                  |
      | has heard nothing                      | unknown | a new controller takes no reports for no load            |
      | has heard one router for 2 s           | unknown | a new controller moves units for the load of one router  |
      | has heard a router for 60 s            | fresh   | load never counts as known                               |
      | has heard nothing for the last 40 s    | stale   | old rates count as present ones                          |

  Scenario Outline: Malformed values in a report do not spoil the sums
    Given a merger that has heard a router for 60 s
    When a report gives <value> for bucket <bucket>
    Then all rates are finite and not negative

    Examples: each row names the failure it guards against
      | value | bucket | failure                                        |
      | nan   | 5      | one NaN makes the sum of all loads NaN         |
      | inf   | 5      | one server looks infinitely loaded             |
      | -1e9  | 5      | a server looks unloaded and receives all units |
      | 10    | 99999  | a bucket beyond the last ends the merger       |
      | 10    | -1     | a negative bucket counts for the last one      |

  Scenario Outline: A report without a sane window is refused
    Given a merger that has heard a router for 60 s
    When a report of 10 requests/s covers <window_ms> ms
    Then the report is refused and no rate changes

    Examples: each row names the failure it guards against
      | window_ms | failure                                              |
      | 0         | a report without a window counts as an outlier       |
      | -5000     | a negative window takes load away                    |
      | 600000    | a router that was paused for minutes dilutes all rates |

  Scenario: A new pin takes its load along
    Given a merger that has heard a router for 60 s
    When a plan that pins "saw" with 40 requests/s is written
    Then the pin has 40 requests/s and its bucket has 40 requests/s less
    When a plan that removes the pin is written
    Then the bucket has its load back and no pin is left

  Scenario: Units that do not fit in a report come in a later one
    Given a router that counted 1000 requests on each of 100 buckets
    When it makes 10 reports of at most 10 units
    Then the reports hold 100000 requests of 100 buckets

  Scenario: Rates stay right beyond the rescaling of the counters
    Given 3 routers that each count 100 requests/s on bucket 5 and 50 requests/s on the pin "gear"
    When their reports of 1200 s arrive in order
    Then bucket 5 is at 300 requests/s and the pin at 150 requests/s, within 10%
