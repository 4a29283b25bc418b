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

  Scenario: A change from before a node turned to the store counts as old as it can be
    # Guards against a leaving server that is used beyond the drain bound, because the node had no call at the store when the
    # change was made (front-natal-a-13 on many-routes: 174 ms for a row that was 1.58 s old).
    Given a node whose feed call waits at the store
    When the node hears a hub for 100 ms
    And the row changes in the store
    And the node hears a hub for 2000 ms
    And the node hears no hub for 200 ms
    Then the node counts the change as at least 2000 ms old

  Scenario: A call at a store that is cut off is given up once a peer has what it should have returned
    # Guards against a node that waits for a store which no longer answers it until the waiting time of its call is over, 13.9 s on
    # a day of our own, and counts as one that the store answers all the while.
    Given a node whose feed call waits at the store
    When the store is cut off from the node
    And the row changes in the store
    And the node copies the change from a peer
    And the node hears no hub for 1400 ms
    Then the node has made no other call
    When the node hears no hub for 300 ms
    Then the node counts the store as lost

  Scenario: A call that has returned a change after a copy of it goes on
    # Guards against calls that are given up although the store has answered, only later than the peer.
    Given a node whose feed call waits at the store
    When the node copies the change from a peer
    And the row changes in the store
    And the node hears no hub for 3000 ms
    Then the node counts the store as well

  Scenario: A node that is stopped ends its call at the store
    # Guards against a call that goes on after the node has stopped.
    Given a node whose feed call waits at the store
    When the node is stopped
    Then no call of the node waits at the store
