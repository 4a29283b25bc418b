Feature: Reloaded bounds hold from then on, also for what has begun before

  Scenario: The longest hold of a grant is lowered
    # Guards against grants that are given for longer than the platform allows by now.
    Given a settled cluster with grants of up to 4000 ms
    When all nodes reload settings with a longest hold of 1000 ms
    Then every grant that arrives later than 1000 ms after it has at most 1000 ms

  Scenario: The time for which a leaving server may be used is lowered
    # Guards against requests that reach a leaving server after a drain bound that was lowered since the start.
    Given a settled cluster whose nodes may use a leaving owner for 1200 ms
    When all nodes reload settings with a drain bound of 1500 ms
    Then they may use a leaving owner for 700 ms, also of a service that a manifest adds later
