Feature: The right to repeat grants ends in a known time

  Background:
    Given 5 nodes that know map 1

  Scenario: A majority that knows no newer map gives the right for a second
    # Guards against a node that goes on after it was cut off.
    When two peers echo what was sent at 1000 ms
    Then grants of map 1 may be sent until 2000 ms

  Scenario: Two of five are no majority with one peer
    # Guards against two parts of the system that both repeat grants.
    When one peer echoes what was sent at 1000 ms
    Then grants of map 1 may not be sent at 1100 ms

  Scenario: A newer map that any peer knows ends the right at once
    # Guards against repeats of a grant that another node has given away.
    When two peers echo what was sent at 1000 ms
    And a third peer knows map 2
    Then grants of map 1 may not be sent at 1100 ms

  Scenario: The store confirms the map where no majority does
    # Guards against holds that run out because more than half of the nodes were killed.
    When the store had map 1 when it was asked at 1000 ms
    Then grants of map 1 may be sent until 2000 ms

  Scenario: Peers that have forgotten what they knew give no right
    # Guards against a restarted witness that confirms a map although it knew a newer one before.
    When two peers that have restarted echo what was sent at 1000 ms
    Then grants of map 1 may not be sent at 1100 ms

  Scenario: A restarted node does not count itself before it has read the map
    # Guards against a majority that rests on what this node has forgotten.
    Given this node has restarted and not read the map
    When two peers echo what was sent at 1000 ms
    Then grants of map 1 may not be sent at 1100 ms

  Scenario: A node that is no witness sends no grants
    # Guards against renewals by a node whose last order no mover asks for.
    Given this node is no witness
    When the store had map 1 when it was asked at 1000 ms
    Then grants of map 1 may not be sent at 1100 ms

  Scenario: A lost holder's hold ends when the last right and the hold have run out
    # Guards against a grant to a second holder while a cut-off node still renews.
    Given a hold of 1200 ms
    When three peers know map 2 at 5000 ms and one is silent
    Then under map 2 the hold of a lost server ends at 7324 ms

  Scenario: All witnesses tell when they last renewed
    # Guards against waiting for a right that nobody has used.
    Given a hold of 1200 ms
    When all peers know map 2 at 5000 ms and one has renewed 900 ms before
    Then under map 2 the hold of a lost server ends at 5424 ms

  Scenario: A newer map does not postpone the end of an older wait
    # Guards against keys without a holder for as long as other keys go on moving.
    Given a hold of 1200 ms
    When three peers know map 2 at 5000 ms and one is silent
    And three peers know map 3 at 5500 ms
    Then under map 2 the hold of a lost server ends at 7324 ms

  Scenario: Replaced witnesses must know of the newer map, too
    # Guards against renewals that rest on a majority of the earlier witnesses.
    Given a hold of 1200 ms
    And map 2 has other witnesses than map 1
    When peers 3 and 4 know map 2 at 5000 ms
    Then under map 2 the end of a lost server's hold is not known
    When peers 1 and 3 know map 2 at 5500 ms
    Then under map 2 the hold of a lost server ends at 7824 ms
