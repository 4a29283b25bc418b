Feature: A unit may be granted once each previous holder is proven done, and not before

  Server A has incarnation h1 and lease epoch 1 with the renewers n1, n2 and n3; it may hold bucket 0
  at epoch 5. "stopped n1 L1 300" is n1's statement that at most 300 ms of lease epoch 1 remain.
  "row L2 n1,n4,n5 former" changes the renewers while the lease goes on; without "former" all
  earlier leases had ended.

  Scenario Outline: What proves a holder done
    Given a handover table with the history: <history>
    Then A's holding of the bucket at epoch <epoch> is proven by <proof>

    Examples: lapse
      | history                                                                                            | epoch | proof  | failure                                                          |
      | stopped n1 L1 300; at 2000                                                                         | 5     | none   | one stopped renewer of three ends a lease                        |
      | stopped n1 L1 300; stopped n1 L1 300; at 2000                                                      | 5     | none   | one renewer's repeated statement counts twice                    |
      | stopped n1 L1 300; stopped n4 L1 300; at 2000                                                      | 5     | none   | a node outside the renewer set counts                            |
      | stopped n1 L1 300; stopped n2 L1 400; at 399                                                       | 5     | none   | the smaller remaining time is waited for                         |
      | stopped n1 L1 300; stopped n2 L1 400; at 400                                                       | 5     | LAPSED | a proven lapse is not used                                       |
      | stopped n1 L1 300; stopped n2 L1 400; stopped n3 L1 900; at 400                                    | 5     | LAPSED | the third renewer delays the proof                               |
      | at 200; stopped n1 L1 300; stopped n2 L1 300; at 499                                               | 5     | none   | the wait is counted from the order, not from the statement       |
      | stopped n1 L0 0; stopped n2 L0 0; at 2000                                                          | 5     | none   | statements for a lower lease epoch count                         |
      | renewer-gone n1; stopped n2 L1 0; at 1003                                                          | 5     | none   | a lost renewer counts as stopped at once                         |
      | renewer-gone n1; stopped n2 L1 0; at 1004                                                          | 5     | LAPSED | two lost renewers block a move for ever                          |
      | gate; stopped n1 L1 0; stopped n2 L1 0; at 4999                                                    | 5     | none   | a request that a lapsed gate sent still runs                     |
      | gate; stopped n1 L1 0; stopped n2 L1 0; at 5000                                                    | 5     | LAPSED | the units of a gate never move                                   |

    Examples: changed renewers
      | history                                                                                            | epoch | proof  | failure                                                          |
      | row L2 n1,n4,n5 former; stopped n4 L2 0; stopped n5 L2 0; at 2000                                  | 5     | none   | a lease that rests on the former renewers is taken for ended     |
      | row L2 n1,n4,n5 former; stopped n2 L2 0; stopped n3 L2 0; at 2000                                  | 5     | none   | only the former set is asked                                     |
      | row L2 n1,n4,n5 former; stopped n4 L2 0; stopped n1 L2 0; stopped n2 L2 700; at 699                | 5     | none   | the wait for the former set is left out                          |
      | row L2 n1,n4,n5 former; stopped n4 L2 0; stopped n1 L2 0; stopped n2 L2 700; at 700                | 5     | LAPSED | statements of a shared renewer do not count for both sets        |
      | row L2 n1,n4,n5 former; row L2 n1,n4,n5; stopped n4 L2 0; stopped n5 L2 0; at 10                   | 5     | LAPSED | a confirmed lease still needs the former renewers                |
      | stopped n1 L1 300; stopped n2 L1 300; row L2 n1,n2,n3 former; at 2000                              | 5     | none   | statements for the former epoch end the lease of the next        |
      | row L2 n1,n2,n3; row L1 n1,n2,n3; stopped n1 L1 0; stopped n2 L1 0; at 2000                        | 5     | none   | a late row brings back the lower lease epoch                     |
      | stopped n1 L1 0; stopped n2 L1 0; at 10; row L2 n1,n2,n3                                           | 5     | LAPSED | a proof is lost when the server gets its next lease epoch        |
      | stopped n1 L1 0; stopped n2 L1 0; at 10; row L2 n1,n2,n3; row L1 n1,n2,n3; pending 6               | 6     | none   | the end of an earlier lease proves a holding under a later one   |

    Examples: release
      | history                                              | epoch | proof    | failure                                                              |
      | released bucket@5                                    | 5     | RELEASED | a planned move waits for a lapse                                     |
      | draining bucket@5                                    | 5     | none     | a draining server counts as done                                     |
      | pending 7; released bucket@5                         | 7     | none     | a late reply to an earlier release proves a newer holding            |
      | released pin@5                                       | 5     | none     | a reply about another unit counts                                    |
      | unasked pin@5                                        | 5     | none     | a reply that names a unit nobody asked for ends the controller       |
      | released bucket@5 stale                              | 5     | none     | a reply that refuses the order counts                                |
      | released bucket@5; pending none; pending 5           | 5     | none     | a proof outlives the entry that it was given for                     |

    Examples: gone
      | history                                              | epoch | proof  | failure                                                              |
      | released bucket@5 from h2                            | 5     | GONE   | a restarted server's units wait for a lapse                          |
      | reported n1 L1 h2                                    | 5     | GONE   | a renewer's report of a restart is not used                          |
      | reported n1 L0 h2                                    | 5     | none   | a late report about an earlier lease epoch counts                    |
      | reported n4 L1 h2                                    | 5     | none   | a node outside the renewer set counts                                |
      | vm-gone h1                                           | 5     | GONE   | a deleted VM's units wait for its renewers                           |
      | vm-gone h0                                           | 5     | none   | the listed end of an earlier VM counts for the present one           |
      | vm-gone h1; row L2 n1,n2,n3; pending 6               | 6     | none   | the end of an earlier incarnation counts for the present one         |
      | gate; vm-gone h1; at 4999                            | 5     | none   | a request that a lost gate sent still runs                           |
      | gate; vm-gone h1; at 5000                            | 5     | GONE   | the units of a lost gate never move                                  |

  Scenario Outline: Which messages are sent
    Given a handover table with the history: <history>
    Then at <now> ms it sends <messages>

    Examples: messages
      | history                                            | now  | messages                                        | failure                                                      |
      | start                                              | 0    | release bucket@5                                | the holder is never asked                                    |
      | at 0                                               | 99   | none                                            | every tick asks again                                        |
      | at 0                                               | 100  | release bucket@5                                | a lost order is never repeated                               |
      | released bucket@5                                  | 100  | none                                            | a proven holder is asked for ever                            |
      | lapse                                              | 0    | release bucket@5, stop n1 L1, stop n2 L1, stop n3 L1 | the lease of a silent server is not stopped             |
      | pending none; lapse                                | 0    | stop n1 L1, stop n2 L1, stop n3 L1              | a lease goes on because no unit has moved yet                |
      | lapse; stopped n1 L1 300                           | 100  | release bucket@5, stop n2 L1, stop n3 L1        | a stopped renewer is asked again                             |
      | row L2 n1,n4,n5 former; lapse                      | 0    | release bucket@5, stop n1 L2, stop n4 L2, stop n5 L2, stop n2 L2, stop n3 L2 | the former renewers go on       |
      | at 0                                               | 5000 | release bucket@5, stop n1 L1, stop n2 L1, stop n3 L1 | a server that never answers keeps its units             |
      | at 0; at 3000; draining bucket@5                   | 5000 | release bucket@5                                | the lease of a server that answers is stopped                |
      | at 0; draining bucket@5                            | 4999 | release bucket@5                                | a lease is stopped before the release timeout                |

  Scenario Outline: What the renewers' reports mean
    Given a handover table with the history: <history>
    Then the last report means <suspicion>

    Examples: reports
      | history                                                  | suspicion   | failure                                                        |
      | reported n1 L1 h1 600                                    | NONE        | one renewer that is cut off gets a server's keys moved         |
      | reported n1 L1 h1 600; reported n1 L1 h1 700             | NONE        | one renewer's repeated report counts twice                     |
      | reported n1 L1 h1 600; reported n2 L1 h1 600             | SILENT      | a lost server is never suspected                               |
      | reported n1 L1 h1 600; at 501; reported n2 L1 h1 600     | NONE        | two reports from different outages count together              |
      | reported n1 L1 h1 10                                     | LEASE_ENDED | a server whose lease has lapsed never gets another             |
      | lapse; reported n1 L1 h1 10                              | NONE        | a new lease epoch undoes a lapse that a mover waits for        |
      | refused n1 L1                                            | LEASE_ENDED | a lease that an earlier controller stopped stays without end   |
      | refused n1 L0                                            | NONE        | an assignment refused for another reason ends a lease          |
      | lapse; refused n1 L1                                     | NONE        | a new lease epoch undoes a lapse that a mover waits for        |
