Feature: Copies of a table tell whether its rows were read after an outage

  Background:
    Given hub A, hub B and a node that takes copies from hub A

  Scenario: An outage of one hub alone does not keep a removed server
    # Guards against requests to a server that has left, from nodes whose hub the store turned away.
    Given the store turns hub A away
    When hub B reads that a server was removed and hub A takes a copy
    And the node takes a copy
    Then hub A takes the server for removed
    And the node takes the server for removed

  Scenario: What was read after an outage of the store is told as such
    # Guards against keys that move because a lapsed entry was not yet back.
    Given the store was away for hub B until now
    When hub B reads that a server was removed and hub A takes a copy
    And the node takes a copy
    Then hub A takes the server for lapsed
    And the node takes the server for lapsed

  Scenario: An earlier outage says nothing of later rows
    # Guards against one outage that keeps all servers removed later.
    Given the store was away for hub B until now
    When hub B reads that another server was removed and hub A takes a copy
    And the node takes a copy
    And 2100 ms pass
    And hub B reads that a server was removed and hub A takes a copy
    And the node takes a copy
    Then hub A takes the server for removed
    And the node takes the server for removed
