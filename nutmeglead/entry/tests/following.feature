Feature: A node follows the store only while it hears no hub

  Scenario: A node that hears a hub ends its call at the store
    # Guards against a change of a large row that the store sends as well, whole, while its copy from the hub is under way.
    Given a node whose feed call waits at the store
    When the node hears a hub for 100 ms
    Then no call of the node waits at the store

  Scenario: A node that loses its hub follows the store again from where it was
    # Guards against a node that stays without changes, or reads the whole table again.
    Given a node whose feed call waits at the store
    When the node hears a hub for 100 ms
    And the node hears no hub for 200 ms
    And the row changes in the store
    Then the node has applied the change, after a call for the changes since version 1

  Scenario: A node that is stopped ends its call at the store
    # Guards against a call that goes on after the node has stopped.
    Given a node whose feed call waits at the store
    When the node is stopped
    Then no call of the node waits at the store
