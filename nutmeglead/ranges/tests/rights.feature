Feature: Nodes send grants only while they know the newest map, and stop within a known time

  Background:
    Given 5 nodes that know map 1

  Scenario: A majority that knows no newer map permits grants for a second
    # Guards against a node that is cut off from its peers, and goes on to send grants of a map that
    # has been replaced meanwhile.
    When two peers echo the heartbeat sent at 1000 ms
    Then grants of map 1 may be sent until 2000 ms

  Scenario: One peer and this node are no majority of five
    # Guards against two parts of a divided network that both send grants.
    When one peer echoes the heartbeat sent at 1000 ms
    Then grants of map 1 may not be sent at 1100 ms

  Scenario: A newer map at any peer forbids grants of the older one at once
    # Guards against renewing the grant of a range that the newer map gives to another server.
    When two peers echo the heartbeat sent at 1000 ms
    And a third peer knows map 2
    Then grants of map 1 may not be sent at 1100 ms

  Scenario: The store confirms the map where no majority does
    # Guards against holds that expire because more than half of the nodes were killed, so that the
    # others find no majority.
    When a read of the store that began at 1000 ms returns map 1
    Then grants of map 1 may be sent until 2000 ms

  Scenario: Restarted peers that have not read the map do not count towards the majority
    # Guards against a witness that has lost its state in a restart, and confirms a map although it
    # knew a newer one before.
    When two peers that have restarted echo the heartbeat sent at 1000 ms
    Then grants of map 1 may not be sent at 1100 ms

  Scenario: A restarted node does not count itself before it has read the map
    # Guards against a majority that includes this node, although it may have known a newer map
    # before its restart.
    Given this node has restarted and not read the map
    When two peers echo the heartbeat sent at 1000 ms
    Then grants of map 1 may not be sent at 1100 ms

  Scenario: A node that is not a witness sends no grants
    # Guards against renewals that the acting node does not know of: it computes the end of a hold
    # from the grants of the witnesses only.
    Given this node is not a witness
    When a read of the store that began at 1000 ms returns map 1
    Then grants of map 1 may not be sent at 1100 ms

  Scenario: The hold of a lost server ends one hold after the last witness had to stop renewing it
    # Guards against a grant to a second server while a witness that is cut off still renews the
    # hold of the first one.
    Given a hold of 1200 ms
    When three peers know map 2 at 5000 ms and one is silent
    Then under map 2 the hold of a lost server ends at 7574 ms

  Scenario: The hold of a lost server ends one hold after the last renewal if all witnesses report it
    # Guards against a longer wait than needed, until no witness may renew any more, although all of
    # them have reported when they last did.
    Given a hold of 1200 ms
    When all peers know map 2 at 5000 ms and one has renewed 900 ms before
    Then under map 2 the hold of a lost server ends at 5424 ms

  Scenario Outline: A grant that a witness has in flight when it reports may arrive after the report
    # Guards against a witness that is frozen after its last report, while its kernel goes on sending the
    # grant: the server held the keys again after others had waited for the end of its hold.
    Given a hold of 1200 ms
    When all peers know map 2 at 5000 ms and one of them <state>
    Then under map 2 the hold of a lost server ends at <end_ms> ms

    Examples: each row names the failure it guards against
      | state                                 | end_ms | failure                                                  |
      | has a grant in flight                 | 6574   | the report counts as the last moment of the grant        |
      | has given up a grant 60 ms before     | 6264   | a wait for a grant whose connection was reset            |

  Scenario: A newer map does not postpone the end of a hold under an older map
    # Guards against a range that gets no new holder for as long as moves of other ranges write new
    # maps, because the wait starts again with each of them.
    Given a hold of 1200 ms
    When three peers know map 2 at 5000 ms and one is silent
    And three peers know map 3 at 5500 ms
    Then under map 2 the hold of a lost server ends at 7574 ms

  Scenario: Witnesses of a later map do not postpone the end of a hold under an older map
    # Guards against keys of a lost server that wait anew when a witness that was lost with it is replaced
    # (9.9 s in place of 7.6 s): the new set has never had the right to renew the older map.
    Given a hold of 1200 ms
    When three peers know map 2 at 5000 ms and one is silent
    And map 3 has other witnesses at 7000 ms
    Then under map 2 the hold of a lost server ends at 7574 ms

  Scenario: A majority of the replaced witnesses must know the newer map too
    # Guards against renewals of the older map that a majority of its own witnesses still permits
    # when a majority of the new witnesses knows the newer map.
    Given a hold of 1200 ms
    And map 2 has other witnesses than map 1
    When peers 3 and 4 know map 2 at 5000 ms
    Then under map 2 the end of a lost server's hold is not known
    When peers 1 and 3 know map 2 at 5500 ms
    Then under map 2 the hold of a lost server ends at 8074 ms

  Scenario: Half of an even number of witnesses ends the rights of the others
    # Guards against keys of a crashed server that never get an owner again after half of the
    # witnesses have left for good: the other half alone is no majority that could renew.
    Given 6 nodes that know map 1
    And a hold of 1200 ms
    When peers 1 and 2 know map 2 at 5000 ms
    Then under map 2 the hold of a lost server ends at 7574 ms

  Scenario: Less than half of an even number of witnesses ends no rights
    # Guards against a grant to a second server while the other witnesses are a majority that still
    # renews the hold of the first one.
    Given 6 nodes that know map 1
    And a hold of 1200 ms
    When peer 1 knows map 2 at 5000 ms
    Then under map 2 the end of a lost server's hold is not known

  Scenario: The rights of witnesses that have left for good end without an answer of theirs
    # Guards against keys of a crashed server that never get an owner again after most witnesses
    # have left for good: none of them will ever know the newer map.
    Given a hold of 1200 ms
    When peer 1 knows map 2 at 5000 ms
    Then under map 2 the end of a lost server's hold is not known at 35599 ms
    And under map 2 the hold of a lost server ends at 37174 ms

  Scenario: A majority without a recent read of the store permits no grants
    # Guards against witnesses that are cut off from the store and from the acting node, and renew
    # each other's rights for longer than the acting node waits for them.
    When a read of the store that began at 1000 ms returns map 1
    And two peers echo the heartbeat sent at 30900 ms
    Then grants of map 1 may be sent until 31000 ms

  Scenario: All witnesses together need no recent read of the store
    # Guards against holds of all keys that end in a long outage of the store, although no node is lost.
    When a read of the store that began at 1000 ms returns map 1
    And all peers echo the heartbeat sent at 599000 ms
    Then grants of map 1 may be sent until 600000 ms

  Scenario: All witnesses together permit grants for ten minutes without the store
    # Guards against rights without an end, if all witnesses are cut off from the store and from the acting node.
    When a read of the store that began at 1000 ms returns map 1
    And all peers echo the heartbeat sent at 600900 ms
    Then grants of map 1 may be sent until 601000 ms

  Scenario: A peer's read of the store permits grants as long as an own one
    # Guards against a witness that loses its rights because the store refuses its calls, although
    # the store answers its peers.
    When a read of the store that began at 1000 ms returns map 1
    And two peers echo the heartbeat sent at 30900 ms, 4000 ms after a read of the store
    And two peers echo the heartbeat sent at 56500 ms, 29600 ms after a read of the store
    Then grants of map 1 may be sent until 56900 ms

  Scenario: A replaced witness set that has left for good is dropped from the map
    # Guards against a map that keeps a set of nodes that have left, and so waits for them at each
    # later move.
    Given map 2 has other witnesses than map 1, and most of those of map 1 have left
    When peer 3 knows map 2 at 5000 ms
    Then the witnesses of map 1 are listed until 38600 ms

  Scenario: A witness set of which nobody is left keeps its rights for longer
    # Guards against a second holder, if all nodes of the set are only cut off and confirm the map to each other.
    Given map 2 has other witnesses than map 1, and all of those of map 1 have left
    When peer 3 knows map 2 at 5000 ms
    Then the witnesses of map 1 are listed until 620000 ms

  Scenario: A witness set that is replaced again is listed for its whole time again
    # Guards against a set that is dropped by the time of its first replacement, after another
    # acting node has made it the current one in the meantime.
    Given map 2 has other witnesses than map 1, and most of those of map 1 have left
    When peer 3 knows map 2 at 5000 ms
    And the next map that this node knows is map 5 at 30000 ms
    Then the witnesses of map 1 are listed until 63600 ms

  Scenario: A replaced witness set is listed until the holds that it may have renewed have ended
    # Guards against a move that begins just after the set was dropped, and grants a range to a second server while a
    # hold lasts that a node of the set, which was cut off, renewed at the end of its rights.
    Given map 2 has other witnesses than map 1
    When peers 1 and 3 know map 2 at 5500 ms
    Then the witnesses of map 1 are listed until 9500 ms

  Scenario: Later maps do not postpone the end of a replaced witness set
    # Guards against a map that lists ever more sets, because moves of ranges write new maps all the time.
    Given map 2 has other witnesses than map 1
    When peers 1 and 3 know map 2 at 5500 ms
    And the next map that this node knows is map 3 at 7000 ms
    Then the witnesses of map 1 are listed until 9500 ms

  Scenario: Many later maps do not begin the time of a replaced witness set anew
    # Guards against the same, for the times of old versions, of which only the last 64 are kept.
    Given map 2 has other witnesses than map 1, and most of those of map 1 have left
    When peer 3 knows map 2 at 5000 ms
    And maps 3 to 99 follow until 20000 ms, each with a move that waits for a hold
    Then the witnesses of map 1 are listed until 38600 ms
