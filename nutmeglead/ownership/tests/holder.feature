Feature: A grant holder runs a request only under a valid lease and a grant of exactly its epoch

  Key "ka" matches the units bucket, prefix (k) and pin (ka). Grants "1.2 L3" have role epoch 1,
  sequence 2 and lease epoch 3; "-pin" is a carve-out. Renewals name the renewer, the lease epoch
  and the lease end in ms.

  Scenario Outline: A request at epoch <epoch> after a history of messages
    Given a grant holder with the history: <history>
    When a request for "ka" arrives at epoch <epoch>
    Then the holder answers <answer>

    Examples: lease
      | history                                                                                         | epoch | answer         | failure                                                         |
      | grants 1.1 L1 bucket@3; renew n1 L1 1000                                                        | 3     | lease-not-held | one renewer cut off from the mover keeps a lease alive          |
      | grants 1.1 L1 bucket@3; renew n1 L1 1000; renew n1 L1 1100                                      | 3     | lease-not-held | two renewals of one renewer count as two renewers               |
      | renew n1 L1 1000; renew n2 L1 1000; grants 1.1 L1 bucket@3                                      | 3     | run            | a renewed server refuses its keys                               |
      | grants 1.1 L1 bucket@3                                                                          | 3     | lease-not-held | grants without renewals start a lease                           |
      | grants 1.1 L1 bucket@3; renew n1 L1 0; renew n2 L1 0                                            | 3     | lease-not-held | a question for the time starts a lease                          |
      | grants 1.1 L1 bucket@3; renew n1 L1 1000; renew n2 L1 1000; at 999                              | 3     | run            | a lease ends early                                              |
      | grants 1.1 L1 bucket@3; renew n1 L1 1000; renew n2 L1 1000; at 1000                             | 3     | lease-lapsed   | a lease outlives its end                                        |
      | grants 1.1 L1 bucket@3; renew n1 L1 1000; renew n2 L1 1200; renew n3 L1 1400; at 1199           | 3     | run            | one lost renewer of three ends the lease                        |
      | grants 1.1 L1 bucket@3; renew n1 L1 1000; renew n2 L1 1000; renew n3 L1 1900; at 1000           | 3     | lease-lapsed   | a single renewer carries the lease on                           |
      | grants 1.1 L1 bucket@3; renew n1 L1 1000; renew n2 L1 1000; renew n1 L1 900; at 950             | 3     | run            | a late renewal shortens the lease                               |
      | grants 1.1 L1 bucket@3; renew n1 L1 1000; renew n2 L1 1000; at 2000; renew n1 L1 3000; renew n2 L1 3000 | 3 | lease-lapsed | a frozen server resumes a lease that has lapsed             |
      | grants 1.1 L1 bucket@3; renew n1 L1 1000; renew n2 L1 1000; at 2000; renew n1 L2 3000; renew n2 L2 3000 | 3 | not-owner  | units that moved during the lapse are revived by the next lease |
      | grants 1.1 L1 bucket@3; renew n1 L1 1000; renew n2 L1 1000; at 2000; grants 1.2 L1 bucket@3; renew n1 L2 3000; renew n2 L2 3000 | 3 | not-owner | late grants of the lapsed lease are installed |
      | grants 1.1 L1 bucket@3; renew n1 L1 1000; at 2000; renew n1 L2 3000; renew n2 L2 3000           | 3     | not-owner      | grants of a lease that never began are used under the next      |
      | grants 1.1 L1 bucket@3; restart; renew n1 L1 1000; renew n2 L1 1000                             | 3     | lease-not-held | renewals meant for an earlier incarnation count                 |
      | restart; grants 1.1 L1 bucket@3; renew n1 L1 1000                                               | 3     | lease-not-held | grants meant for an earlier incarnation count                   |
      | restart; grants 1.1 L1 bucket@3; readdress; lease L1                                            | 3     | not-owner      | the grants of an earlier incarnation are used by the new one    |
      | grants 1.1 L1 bucket@3; renew n1 L1 1000; renew n4 L1 1000                                      | 3     | lease-not-held | a node outside the renewer set renews                           |

    Examples: change of renewers
      | history                                                                                              | epoch | answer       | failure                                                      |
      | grants 1.1 L1 bucket@3; renew n1 L1 1000; renew n2 L1 1000; renew n1 L2 1500; at 999                 | 3     | run          | a change of renewers interrupts the lease                    |
      | grants 1.1 L1 bucket@3; renew n1 L1 1000; renew n2 L1 1000; renew n1 L2 1500; at 1000                | 3     | lease-lapsed | one renewal of the new epoch extends the lease               |
      | grants 1.1 L1 bucket@3; renew n1 L1 1000; renew n2 L1 1000; renew n1 L2 1500; renew n2 L1 1500; renew n3 L1 1500; at 1000 | 3 | lease-lapsed | the lower epoch is renewed after the higher one is adopted |
      | grants 1.1 L1 bucket@3; renew n1 L1 1000; renew n2 L1 1000; renew n1 L2 1500; renew n3 L2 1500; at 1499 | 3  | run          | renewals of the new set do not carry the lease               |
      | lease L1; grants 1.1 L1 bucket@3; renew n1 L2 0; renew n1 L1 1500; renew n2 L1 1500; at 1200         | 3     | run          | a question for the time ends the lower epoch                 |
      | lease L1; grants 1.1 L1 bucket@3; renew n4 L2 1500; renew n1 L1 1500; renew n2 L1 1500; at 1200      | 3     | run          | a node outside the new set ends the lower epoch              |
      | at 100; grants 1.1 L1 bucket@3; renew n1 L1 1000; renew n2 L1 1000; renew n1 L2 90; renew n2 L2 90; at 200 | 3 | run        | late renewals of the new set end a lease that is in force    |

    Examples: fencing
      | history                                                                                     | epoch | answer         | failure                                                        |
      | lease L1; grants 1.1 L1 bucket@3                                                            | 2     | epoch-mismatch | a router with an old map is served                             |
      | lease L1; grants 1.1 L1 bucket@3 pin@4                                                      | 3     | epoch-mismatch | the grant of a bucket serves a pinned key                      |
      | lease L1; grants 1.1 L1 bucket@3 pin@4                                                      | 4     | run            | a pinned key is refused by its owner                           |
      | lease L1; grants 1.1 L1 bucket@3 -pin                                                       | 3     | not-owner      | a key pinned elsewhere is served through its bucket            |
      | lease L1; grants 1.1 L1 bucket@3 -prefix                                                    | 3     | not-owner      | a prefix placed elsewhere is served through a bucket           |
      | lease L1; grants 1.1 L1 bucket@3 -prefix pin@4                                              | 4     | run            | a pin inside another server's prefix is refused                |
      | lease L1; grants 1.2 L1; grants 1.1 L1 bucket@3                                             | 3     | not-owner      | a late grant set undoes a newer one                            |
      | lease L1; grants 2.1 L1; grants 1.9 L1 bucket@3                                             | 3     | not-owner      | a controller that lost its role grants                         |
      | lease L1; release 2.1 bucket@3; grants 1.9 L1 bucket@3                                      | 3     | not-owner      | a grant overtaken by a release is installed after it           |
      | lease L1; grants 1.1 L1 bucket@3; release 1.2 bucket@3; grants 1.1 L1 bucket@3              | 3     | not-owner      | a repeated grant set undoes a release                          |
      | lease L2; grants 1.1 L1 bucket@3                                                            | 3     | not-owner      | grants made under a lower lease epoch are installed            |
      | grants 1.1 L2 bucket@3; renew n1 L2 1000 role2; renew n2 L2 1000 role2                      | 3     | not-owner      | a stale controller grants from old pages under a new lease     |
      | grants 1.1 L2 bucket@3; release 2.1 prefix@1; renew n1 L2 1000 role2; renew n2 L2 1000 role2 | 3    | not-owner      | the same, hidden by a release of the new controller            |
      | renew n1 L2 1000 role2; renew n2 L2 1000 role2; grants 1.1 L2 bucket@3                      | 3     | not-owner      | the same, after the lease began                                |
      | lease L1; grants 1.1 L1 bucket@3; release 1.2 pin@4                                         | 3     | not-owner      | a released pin is served through its bucket                    |
      | renew n1 L2 1000 role2; grants 1.1 L2 bucket@3; renew n2 L2 1000 role2                      | 3     | not-owner      | the same, after the first renewal                              |
      | lease L1; grants 1.1 L1 bucket@3; renew n1 L2 1000 role2; renew n2 L2 1000 role2            | 3     | run            | a new controller's change of renewers drops all grants         |

  Scenario Outline: A unit counts as released when nothing can run in it any more
    Given a grant holder with the history: <history>
    When it is asked to release: <order>
    Then it reports <report>

    Examples: releases
      | history                                                       | order                      | report           | failure                                                             |
      | lease L1; grants 1.1 L1 bucket@3                              | 1.2 bucket@3               | DONE             | a release without runs is delayed                                   |
      | lease L1; grants 1.1 L1 bucket@3; run 3                       | 1.2 bucket@3               | DRAINING         | a unit is granted elsewhere while an order runs                     |
      | lease L1; grants 1.1 L1 bucket@3; run 3; finish               | 1.2 bucket@3               | DONE             | a finished run holds a unit for ever                                |
      | lease L1; grants 1.1 L1 bucket@3; run 3                       | 1.2 pin@4                  | DRAINING         | a new pin is granted while the key runs through its bucket          |
      | lease L1; grants 1.1 L1 bucket@3; run 3                       | 1.2 prefix@4               | DRAINING         | a new prefix is granted while its keys run through a bucket         |
      | lease L1; grants 1.1 L1 bucket@3 pin@4; run 4                 | 1.2 bucket@3 keep pin@4    | DONE             | a pin that stays delays the release of its bucket                   |
      | lease L1; grants 1.1 L1 bucket@3 pin@4; run 4                 | 1.2 bucket@3               | DRAINING         | a run under a removed pin outlives the bucket's release             |
      | lease L1; grants 1.1 L1 bucket@3 pin@4; run 4; grants 1.2 L1 bucket@3 | 1.3 bucket@3       | DRAINING         | the same, after the pin left the grant set                          |
      | lease L1; grants 1.1 L1 bucket@5                              | 1.2 bucket@3               | DONE             | an old proof is withheld because the unit came back                 |
      | lease L1; grants 1.1 L1 bucket@5; run 5                       | 1.2 bucket@3               | DONE             | runs of a newer grant delay the proof of an older one               |
      | lease L1; grants 1.1 L1 bucket@3; release 1.3 pin@4           | 1.2 bucket@3               | STALE_ROLE_EPOCH | a late order drops a unit that was granted again                    |
      | lease L1; grants 1.1 L1 bucket@3; at 5000                     | 1.2 bucket@3               | DONE             | a lapsed server never proves a release                              |
      | lease L1; grants 1.1 L1 bucket@3; restart                     | 1.2 bucket@3               | WRONG_INCARNATION | an order for an earlier incarnation is taken as the new one's proof |

  Scenario: Releasing a bucket also withdraws a pin that the table no longer has
    Given a grant holder with the history: lease L1; grants 1.1 L1 bucket@3 pin@4; release 1.2 bucket@3
    When a request for "ka" arrives at epoch 4
    Then the holder answers not-owner

  Scenario: A newer grant stays when an older epoch of its unit is released
    Given a grant holder with the history: lease L1; grants 1.1 L1 bucket@5; release 1.2 bucket@3
    When a request for "ka" arrives at epoch 5
    Then the holder answers run

  Scenario Outline: A run may take effect only under the lease it was admitted under
    Given a grant holder with the history: <history>
    Then the admitted run may take effect: <allowed>

    Examples: runs
      | history                                                                                                        | allowed | failure                                                 |
      | lease L1; grants 1.1 L1 bucket@3; run 3; at 900                                                                | yes     | a run in its lease is discarded                         |
      | lease L1; grants 1.1 L1 bucket@3; run 3; at 1000                                                               | no      | a frozen server applies an order after its unit moved   |
      | lease L1; grants 1.1 L1 bucket@3; run 3; at 2000; renew n1 L2 3000; renew n2 L2 3000; grants 1.2 L2 bucket@3   | no      | a run of the lapsed lease is applied under the next one |

  Scenario Outline: The last message is answered with its status
    Given a grant holder with the history: <history>
    Then the last reply has status <status>

    Examples: statuses
      | history                                                                       | status            | failure                                                        |
      | renew n1 L1 1000                                                              | RENEWED           | a renewer takes a renewed lease for ended                      |
      | renew n1 L1 0                                                                 | TIME_ONLY         | a renewer takes an answer to its question for a renewal        |
      | lease L1; at 1000; renew n1 L1 2000                                           | LAPSED            | nobody learns that the server needs a new lease epoch          |
      | lease L2; renew n1 L1 1500                                                    | STALE_LEASE_EPOCH | a superseded renewer renews for ever                           |
      | lease L1; renew n4 L1 1500                                                    | NOT_A_RENEWER     | a node outside the set renews for ever                         |
      | lease L1; renew x4 L1 1500                                                    | NOT_A_RENEWER     | a node puts itself into the set of a lease epoch               |
      | lease L1; restart; renew n1 L1 1500                                           | WRONG_INCARNATION | a restarted server is taken for the earlier one                |
      | lease L1; grants 1.1 L1 bucket@3; grants 1.1 L1 bucket@3                      | DONE              | a repeated order whose reply was lost is reported as refused   |
      | lease L1; grants 1.1 L1 bucket@3; release 1.2 bucket@3; grants 1.1 L1 bucket@3 | STALE_ROLE_EPOCH | a grant set that a release changed is reported as in force     |
      | lease L1; at 1000; grants 1.1 L1 bucket@3                                     | LAPSED            | grants to a lapsed server are reported as in force             |

  Scenario Outline: Replies name the lease epoch whose renewals carry the lease
    Given a grant holder with the history: <history>
    Then its replies name lease epoch <epoch>

    Examples: epochs
      | history                                                                                | epoch | failure                                                          |
      | renew n1 L1 1000; renew n2 L1 1000; renew n1 L2 1500                                   | 1     | the former renewers are forgotten while the lease rests on them  |
      | renew n1 L1 1000; renew n2 L1 1000; renew n1 L2 1500; renew n2 L2 1500                 | 2     | former renewer sets stay listed for ever                         |
