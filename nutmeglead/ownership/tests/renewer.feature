Feature: A renewer bounds what it has renewed and keeps its stop statements

  The renewer n1 (incarnation i1, started at 0 ms) renews server s with ttl 1000 ms every 250 ms;
  the drift bound of 500 ppm and the rounding of two clocks add 4 ms. "assign L1" names the
  incarnations i1; "reply S" answers the last renewal with the holder's time S.

  Scenario Outline: What is sent
    Given a renewer with the history: <history>
    Then the renewals due at <now> ms end at <ends>

    Examples: renewals
      | history                                                            | now  | ends | failure                                                         |
      | assign L1                                                          | 0    | 0    | a lease end is guessed before the holder's time is known        |
      | assign L1; send; reply 7000                                        | 0    | 8000 | a new lease waits for the next interval                         |
      | assign L1; send; reply 7000; send                                  | 249  | none | renewals are sent too often                                     |
      | assign L1; send; reply 7000; send; at 600                          | 600  | 8000 | an unanswered renewal extends the lease                         |
      | assign L1; send; reply 7000; send; at 100; reply 7090; at 260      | 260  | 8090 | the lease is not extended                                       |
      | assign L1; send; reply 7000; send; at 100; reply 6000; at 260      | 260  | 8000 | a late reply moves the lease back                               |
      | assign L1; send; reply 7000; send; at 100; reply 9999 from h2; at 260 | 260 | 0   | the clock of another incarnation sets the lease end             |
      | assign L1; send; reply 7000; stop L1; at 300                       | 300  | none | a stopped lease is renewed                                      |
      | assign L1; stop L2; assign L2                                      | 300  | none | an assignment that arrives after its stop is taken              |
      | assign L1; stop L1; assign L1                                      | 300  | none | a repeated assignment undoes a stop                             |
      | assign L2; assign L1                                               | 0    | 0 L2 | a late assignment brings back the lower epoch                   |
      | assign L1 for i0                                                   | 0    | none | a restarted renewer takes its earlier assignment and renews what it had stopped |
      | assign L1; assign L2 by 3; assign L3 by 2                          | 0    | 0 L2 | a controller that lost its role assigns                         |
      | assign L1; send; reply 7000; assign L2                             | 0    | 8000 L2 | a change of renewers waits for another answer                |
      | assign L1; send; reply 7000 LAPSED; at 300                         | 300  | 0    | a lapsed lease is renewed for ever                              |

  Scenario Outline: What a stop statement promises
    Given a renewer with the history: <history>
    Then a stop of lease epoch <epoch> at <now> ms leaves <remaining>

    Examples: stops
      | history                                                             | epoch | now  | remaining | failure                                                              |
      | at 5000; assign L1; send; reply 7000; send                          | 1     | 5000 | 1004      | the mover does not wait for clock drift                              |
      | at 5000; assign L1; send; reply 7000; send                          | 1     | 5900 | 104       | the time since the reply is not counted                              |
      | at 5000; assign L1; send; reply 7000; send                          | 1     | 6004 | 0         | a mover waits for a lease that has ended                             |
      | at 5000; assign L1; send; reply 7000; at 5600; send                 | 1     | 5600 | 404       | the time of sending is taken for the time of the reply               |
      | at 5000; assign L1; send; at 5100; reply 7000; at 5200; send        | 1     | 5200 | 904       | the time of asking is taken for the time of the reply                |
      | at 5000; assign L1; send; reply 7000; send; assign L2               | 1     | 5500 | 504       | renewals of a superseded epoch are forgotten                         |
      | at 5000; assign L1; send; reply 7000; send; assign L2; send         | 2     | 5500 | 504       | a stop of the newer epoch leaves out the older one                   |
      | at 5000; assign L1; send; reply 7000; send; assign L2; at 5900; reply 7800 to L2; send | 1 | 5900 | 104 | renewals of a newer epoch delay the proof for the older one      |
      | at 300                                                              | 1     | 300  | 704       | renewals of an earlier incarnation are forgotten                     |
      | at 5000                                                             | 1     | 5000 | 0         | a renewer that never renewed delays a move                           |

  Scenario Outline: How an assignment is answered
    Given a renewer with the history: <history>
    Then the last assignment was <answer>

    Examples: answers
      | history                         | answer     | failure                                                          |
      | assign L1                       | accepted 1 | a controller assigns another renewer for nothing                 |
      | assign L1; assign L1            | accepted 1 | a repeated assignment is reported as refused                     |
      | stop L2; assign L2              | refused 2  | a new controller waits for a lease that its predecessor stopped  |
      | assign L1 for i0                | refused 0  | a restarted renewer is taken for the one that was assigned       |

  Scenario: The stop order of a controller that lost its role is ignored
    Given a renewer with the history: assign L1 by 3; stop L1 by 2
    Then the renewals due at 0 ms end at 0

  Scenario Outline: What is reported
    Given a renewer with the history: <history>
    Then the report at <now> ms is <report>

    Examples: reports
      | history                                                          | now  | report       | failure                                                     |
      | assign L1; send; reply 7000; due 250; due 499                    | 499  | none         | a server is suspected too early                             |
      | assign L1; send; reply 7000; due 250; due 499                    | 900  | none         | one lost renewal counts as the loss of a server             |
      | assign L1; send; reply 7000; due 250; due 500                    | 561  | none         | a renewal that may still be answered counts as unanswered   |
      | assign L1; send; reply 7000; due 250; due 500                    | 562  | silent h1    | a silent server is never reported                           |
      | assign L1; send; reply 7000; due 250; due 500; at 562; report    | 570  | none         | every tick sends a report                                   |
      | assign L1; send; reply 7000; due 9000                            | 9000 | none         | a renewer that was paused itself suspects all its servers   |
      | assign L1; send; reply 7000 LAPSED                               | 0    | answering h1 | nobody learns that the server needs a new lease epoch       |
      | assign L1; send; reply 7000 from h2                              | 0    | answering h2 | nobody learns of a restarted server                         |
      | assign L1; send; reply 7000; due 250; due 500; stop L1           | 600  | none         | a stopped lease is reported for ever                        |
