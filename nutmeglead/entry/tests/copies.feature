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

  Scenario: Other readers without an outage confirm a removal that a hub read after a refusal of its own
    # Guards against a removed server that gets requests for 2 s, because a hub takes the refusal of its own calls for an
    # outage of the store (DRAIN on trouble-1 of cubosertao-gw, seeds 11 and 14).
    Given the store has just recovered for hub B
    When hub B reads that a server was removed and hub A copies it
    And the node copies it
    And 5 of 7 other nodes report that version without an outage
    And the node hears from hub B alone
    Then hub B treats the server as removed
    And the node treats the server as removed

  Scenario Outline: A removal that was read after an outage stays unconfirmed while <case>
    # Guards against keys that move off servers whose entries lapsed in an outage of the store.
    Given the store has just recovered for hub B
    When hub B reads that a server was removed and hub A copies it
    And the node copies it
    And <reports>
    And the node hears from hub B alone
    Then hub B treats the server as lapsed
    And the node treats the server as lapsed

    Examples: each row names the failure it guards against
      | case                            | reports                                                   | failure                                    |
      | most readers had the outage     | 3 of 7 other nodes report that version without an outage  | a few nodes that noticed nothing decide    |
      | as many readers had it as not   | 1 of 1 other nodes report that version without an outage  | one node that noticed nothing decides      |
      | no other node has read so far   | 7 other nodes report the version before without an outage | old reports confirm what they do not cover |

  Scenario Outline: The age of a change that was read at the store counts from when <case>
    # Guards against a leaving server that is used beyond the drain bound, because its announcement counts from its arrival.
    When hub B reads a removal 1000 ms after another answer, <delay_ms> ms after the store has sent it with <history>
    Then hub B counts the change as up to <age_ms> ms old

    Examples: each row names the failure it guards against
      | case                          | delay_ms | history     | age_ms | failure                                          |
      | a call was answered at once   | 0        | all changes | 100    | a change seems older than it can be              |
      | an answer waited on the link  | 700      | all changes | 800    | the transfer over a full link is left out        |
      | the store has lost changes    | 0        | no history  | 1000   | a change from before the loss counts as new      |
      | both happened                 | 700      | no history  | 1000   | a change from before the loss counts as new      |

  Scenario: The age of a copied change includes the time of the transfer
    # Guards against a leaving server that is used beyond the drain bound, because its announcement counts from the arrival
    # of a copy that took seconds over a full link.
    When hub B reads that a server was removed and hub A copies it
    And 300 ms pass
    And the node copies it in 900 ms
    Then the node counts the change from the same time as hub B
