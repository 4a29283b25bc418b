Feature: A node takes copies of tables while a hub of its failure domain is up, and else reads the store

  Background:
    Given a node that takes copies and has just heard both hubs of its failure domain

  Scenario: A node that turns to the store logs for how long it has heard no hub
    # Guards against an incident in which a node whose link loses all heartbeats looks like one whose hubs are slow.
    When it hears no hub for 900 ms
    Then its tables come from the store
    And TABLE_SOURCE_CHANGED is logged once, with source store after 900 ms of silence
