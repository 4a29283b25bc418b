Feature: A node takes copies of tables while a hub of its failure domain is up, and else reads the store

  Background:
    Given a node that takes copies and has just heard both hubs of its failure domain

  Scenario: A node that turns to the store logs for how long it has heard no hub
    # Guards against an incident in which a node whose link loses all heartbeats looks like one whose hubs are slow.
    When it hears no hub for 900 ms
    Then its tables come from the store
    And TABLE_SOURCE_CHANGED is logged once, with source store after 900 ms of silence

  Scenario: A node whose hub answers goes on taking copies although it hears no hub
    # Guards against a node that loses all heartbeats on a full link, and then also reads whole large rows over it.
    When it hears no hub for 900 ms
    And a hub that it does not hear has answered
    Then its tables come from copies
    When it hears no hub for 1001 ms
    Then its tables come from the store

  Scenario Outline: A node asks its hubs without a heartbeat only if <case>
    # Guards against a node that learns of a change by heartbeats alone, and against requests without need.
    When it hears no hub for <silent_ms> ms
    And <next>
    Then it asks <hubs> for copies without a heartbeat

    Examples: each row names the failure it guards against
      | case                    | silent_ms | next                 | hubs | failure                                           |
      | two heartbeats are lost | 351       | nothing else happens | both | a node waits until it takes its hubs for lost     |
      | one heartbeat is lost   | 350       | nothing else happens | none | each lost datagram costs a request                |
      | no hub is heard         | 900       | one hub is heard     | none | a node asks a hub that is lost while it hears one |

  Scenario: A hub asks nobody without a heartbeat
    # Guards against a hub that takes another hub's copies for its own reading of the store.
    Given the node has more processor cores than its hubs
    When it hears no hub for 900 ms
    Then it asks none for copies without a heartbeat
    And its tables come from the store
