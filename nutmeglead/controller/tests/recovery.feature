Feature: Recovery of ownership from faults
  After every event no key is held by two servers by their own clocks, and no epoch or version of
  the table goes back; the rig checks it. 2000 ms is the bound from a loss until a key is served
  again, 200 ms that of a planned move, 0 ms means that healthy servers go on serving.

  Scenario Outline: A single fault
    Given a service in force with seed <seed>
    When "<fault>" happens and lasts <lasts> ms
    Then no key is without a serving owner for longer than <bound> ms
    And when it is over every key is served and the ticket is in force

    Examples: Each row names the failure it guards against
      | fault                                                              | seed | lasts  | bound | failure                                                      |
      | server lost                                                        | 1    | 6000   | 2000  | units of a silent server are not moved                       |
      | server lost, VM list prompt                                        | 2    | 6000   | 2000  | a GONE report of the VM list is not taken as proof           |
      | server frozen                                                      | 3    | 6000   | 2000  | a frozen server keeps its units                              |
      | server frozen for 3 s                                              | 4    | 6000   | 2000  | a resumed server serves units that moved meanwhile           |
      | server frozen for 480 ms                                           | 5    | 6000   | 2000  | a lease is taken as ended when its renewals are stopped      |
      | server and two renewers behind cut links                           | 26   | 9000   | 2000  | one stop statement counts as a lapse                         |
      | server leaving behind a cut link                                   | 27   | 9000   | 2000  | a renewer renews again what it has stopped                   |
      | server restarted                                                   | 5    | 6000   | 2000  | a new incarnation is not granted its units again             |
      | server leaving                                                     | 6    | 6000   | 200   | the new owner waits for a lapse although the old one answers |
      | server leaving and back                                            | 7    | 6000   | 200   | a reversal during the move loses units                       |
      | keys claimed and back                                              | 8    | 6000   | 200   | a claim back accepts the proof of the first move             |
      | key claimed during a request                                       | 8    | 6000   | 200   | a repeated release drops the pins that the server keeps      |
      | two tickets at once                                                | 9    | 6000   | 200   | one of two tickets is not carried out                        |
      | renewer paused for 3 s                                             | 10   | 6000   | 0     | one renewer ends a lease                                     |
      | renewer restarted                                                  | 11   | 6000   | 0     | a renewer without memory ends a lease or keeps one alive     |
      | server and renewer lost                                            | 12   | 6000   | 2000  | a lapse needs all three stop statements                      |
      | acting controller paused for 4 s                                   | 13   | 6000   | 0     | leases depend on the acting controller                       |
      | acting controller lost                                             | 14   | 6000   | 0     | a take-over disturbs healthy servers                         |
      | failure domain lost                                                | 15   | 6000   | 2000  | two renewers of a server are in one domain                   |
      | failure domain of the acting controller lost                       | 16   | 6000   | 2000  | the role is taken over too late                              |
      | failure domain cut off with the table                              | 17   | 6000   | 2000  | both sides of a cut take the role from each other            |
      | failure domain of the acting controller cut off with the table     | 9    | 6000   | 2000  | a cut-off controller keeps its servers' leases alive         |
      | failure domain cut off without the table                           | 19   | 6000   | 2000  | cut-off servers keep their units                             |
      | failure domain of the acting controller cut off without the table  | 20   | 6000   | 2000  | the role stays on the cut-off side                           |
      | table down                                                         | 21   | 6000   | 0     | leases depend on the table                                   |
      | table down                                                         | 22   | 120000 | 0     | something expires in a long outage                           |
      | answers lost                                                       | 23   | 6000   | 0     | a lost answer is taken as not applied                        |
      | 1% loss                                                            | 24   | 6000   | 0     | one lost message makes a server suspect                      |
      | 5% loss, doubling and reordering                                   | 3    | 6000   | 2000  | a repeated or late message undoes a newer one                |

  Scenario Outline: The acting controller is paused at a step, another takes the role, it resumes
    Given a service in force with seed <seed>
    When "<fault>" happens and the acting controller is paused <moment> "<step>"
    Then no key is without a serving owner for longer than 2000 ms
    And when it is over every key is served and the ticket is in force

    Examples: The 2000 ms count from the pause; each row names the failure it guards against
      | fault                 | moment | step            | seed | failure                                                    |
      | server leaving        | before | pages write     | 1    | a stale controller writes its move after the take-over     |
      | server leaving        | after  | pages write     | 2    | the successor does not complete a move that was written    |
      | server leaving        | after  | pages written   | 3    | the successor does not release what its predecessor moved  |
      | server leaving        | before | release         | 4    | a stale release drops units that were granted again        |
      | server leaving        | after  | release         | 5    | the successor does not learn of a release                  |
      | server leaving        | before | grants          | 6    | stale grants replace those of the successor                |
      | server leaving        | after  | grants          | 7    | the successor's grants are taken as old                    |
      | keys claimed and back | before | pages write     | 8    | a stale claim is written                                   |
      | keys claimed and back | after  | pages written   | 9    | a pin without its proof is granted                         |
      | keys claimed and back | after  | release         | 10   | a pin stays with nobody                                    |
      | server lost           | before | pages write     | 11   | a stale controller moves the units again                   |
      | server lost           | after  | pages write     | 12   | the successor does not stop the lost server's lease        |
      | server lost           | before | stop            | 13   | stale stop orders end the leases of the successor          |
      | server lost           | after  | stop            | 14   | the successor waits for renewers that stopped already      |
      | server lost           | before | grants          | 15   | stale grants replace those of the successor                |
      | server restarted      | before | servers write   | 16   | a stale lease epoch is written                             |
      | server restarted      | after  | servers written | 17   | the successor waits for the end of a lease that is new     |
      | server frozen for 3 s | after  | stop            | 18   | a lease epoch that was stopped is never replaced           |

  Scenario Outline: The table is down around a move
    Given a service in force with seed <seed>
    When the table goes down <moment> "<fault>" and stays down <lasts> ms
    Then no key is without a serving owner for longer than <bound> ms
    And when it is over every key is served and the ticket is in force

    Examples: Each row names the failure it guards against
      | moment | fault                 | seed | lasts  | bound | failure                                             |
      | before | server leaving        | 1    | 5000   | 200   | a ticket that waits for the table is lost           |
      | during | server leaving        | 2    | 5000   | 200   | a move whose write failed is half carried out       |
      | after  | server leaving        | 3    | 5000   | 200   | a handover that has begun waits for the table       |
      | after  | keys claimed and back | 4    | 5000   | 200   | a claim that was written waits for the table        |
      | after  | server lost           | 5    | 5000   | 2000  | a loss that was written waits for the table         |
      | before | renewer paused for 3 s | 6   | 5000   | 0     | two renewers are not enough without the table       |
      | after  | server leaving        | 7    | 120000 | 200   | a handover is undone in a long outage               |

  Scenario Outline: Pairs of faults
    Given a service in force with seed <seed>
    When "<fault>" is followed by each other fault
    Then every key is served in the end after each of them

    Examples: Each row names the failure it guards against
      | fault                                 | seed | failure                                          |
      | server frozen                         | 100  | a loss hides the second fault                    |
      | server frozen for 3 s                 | 200  | a lease epoch is confused with its successor     |
      | server restarted                      | 300  | an incarnation is confused with its successor    |
      | server leaving                        | 400  | a release that never answers blocks the ticket   |
      | server leaving and back               | 500  | a reversal meets a third owner                   |
      | keys claimed and back                 | 600  | a pin meets a move of the unit below             |
      | renewer paused for 3 s                | 700  | a late renewal extends a stopped lease           |
      | renewer restarted                     | 800  | a renewer set without a majority in memory       |
      | acting controller paused for 4 s      | 900  | the successor repeats or forgets a step          |
      | failure domain lost                   | 1000 | two renewers are missing at once                 |
      | failure domain cut off with the table | 1100 | both sides act                                   |
      | table down                            | 1200 | what waits for the table is forgotten            |
      | answers lost                          | 1300 | a write is applied twice or not at all           |
      | 5% loss, doubling and reordering      | 1400 | a repeated or late message is taken as a new one |
