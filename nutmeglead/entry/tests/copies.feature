Feature: Copies of a table state whether its rows were read soon after a store outage

  Background:
    Given hub A, hub B and a node that copies from hub A

  Scenario: A hub without the store passes on removals that another hub has read
    # Guards against requests to a server that has left, because the hub that passes on its removal was
    # itself refused by the store and the removed entry is taken for one that lapsed in an outage.
    Given the store refuses the calls of hub A
    When hub B reads that a server was removed and hub A copies it
    And the node copies it
    Then hub A treats the server as removed
    And the node treats the server as removed

  Scenario: Copies of rows that were read soon after an outage say so
    # Guards against keys that move off a server whose entry lapsed in the outage and is about to return.
    Given the store has just recovered for hub B
    When hub B reads that a server was removed and hub A copies it
    And the node copies it
    Then hub A treats the server as lapsed
    And the node treats the server as lapsed

  Scenario: Rows read long after an outage are not marked
    # Guards against one outage after which every removed server is kept as if its entry had lapsed.
    Given the store has just recovered for hub B
    When hub B reads that another server was removed and hub A copies it
    And the node copies it
    And 2100 ms pass
    And hub B reads that a server was removed and hub A copies it
    And the node copies it
    Then hub A treats the server as removed
    And the node treats the server as removed
