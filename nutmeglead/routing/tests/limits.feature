Feature: Limits, lent slots, ejection and selection keep servers within what they can take

  Scenario Outline: A policy sets the limit of one server
    Given a service with 4 slots and 130 connections among <routers> routers
    When the policy <policy> sees <history>
    Then its limit is <relation> <limit>

    Examples: each row names the failure it guards against
      | policy   | routers | history                        | relation | limit | failure                                                  |
      | fixed    | 1       | nothing                        | exactly  | 4     | slots stay unused                                        |
      | fixed    | 3       | nothing                        | exactly  | 2     | a router takes more than its part                        |
      | fixed    | 12      | nothing                        | exactly  | 1     | a router without a whole slot can send nothing           |
      | gradient | 1       | 200 answers in 10 ms when full | above    | 20    | the limit stays low though latency is steady             |
      | gradient | 1       | 200 answers in 10 ms when idle | exactly  | 4     | a limit that nothing has tested grows                    |
      | gradient | 1       | latency rising to 200 ms       | below    | 10    | a server that slows down gets as much as before          |
      | gradient | 1       | 20 refusals                    | exactly  | 1     | refusals do not lower the limit, or lower it to nothing  |
      | gradient | 1       | slow, fast and slow again      | below    | 10    | a slow phase hides the next one                          |
      | gradient | 1       | a slow phase and its end       | above    | 20    | one slow phase limits the server for good                |

  Scenario Outline: The connections to a server are shared
    Given a service with 4 slots and 130 connections among <routers> routers
    Then a router may open <connections> connections to a server
    And all routers together stay within 130

    Examples: each row names the failure it guards against
      | routers | connections | failure                                   |
      | 1       | 130         | connections stay unused                   |
      | 11      | 11          | the routers together exceed the server's  |
      | 12      | 10          | the routers together exceed the server's  |

  Scenario: Routers are added while connections are open
    Given a router that alone has 4 requests running on the 4 connections of a server
    When three more routers share the server and the router gets 4 more requests
    Then the router runs 1 of them at a time on 1 connection

  Scenario Outline: A request for slots crosses the network
    Given a router that lends slots over rpc and <state>
    When another router asks it for 1 slot
    Then <slots> slots are lent

    Examples: each row names the failure it guards against
      | state          | slots | failure                                       |
      | listens        | 1     | the message or its reply is not understood    |
      | has gone       | no    | an unreachable lender ends the borrower's task |

  Scenario: All routers' own slots add up to the slots of each server
    When routers of any number divide the slots of any server
    Then the parts add up to exactly the slots

  Scenario: Lent slots never exceed the slots, whatever is lost, late, doubled or restarted
    When generated routers lend slots over a network that loses, delays and doubles messages
    Then the shares never exceed the slots at any moment

  Scenario Outline: Lending between two routers
    Given a lender with 2 slots and a borrower with none
    When the lending course is <course>
    Then the lender may use <lender> and the borrower <borrower> slots

    Examples: each row names the failure it guards against
      | course                               | lender | borrower | failure                                               |
      | one slot is lent                     | 1      | 1        | slots are not lent at all                             |
      | the reply is lost                    | 1      | 0        | a lender uses a slot that it may have lent            |
      | the reply is lost and 1003 ms pass   | 2      | 0        | a lost reply takes a slot for good                    |
      | one slot is lent and 1001 ms pass    | 1      | 0        | a clock that runs slow uses a slot that was taken back |
      | the reply comes late and 520 ms pass | 2      | 0        | a loan is counted from its late reply                 |
      | both slots are lent and renewed      | 0      | 2        | a borrower that uses all slots cannot renew           |
      | the reply to a smaller request is lost | 0    | 2        | a lender frees a slot that the borrower still uses    |
      | the loan ends                        | 2      | 0        | a loan outlives its end                               |
      | the request comes twice              | 1      | 1        | a doubled request lends twice                         |
      | the reply comes twice                | 1      | 1        | a doubled reply counts twice                          |
      | the loan is renewed in time          | 1      | 1        | a renewal lends a second slot                         |
      | the slot is given back               | 2      | 0        | a slot given back is not usable until its loan ends   |
      | the request comes after the return   | 2      | 0        | a late request lends a slot that nobody uses          |
      | the reply comes after the return     | 2      | 0        | a late reply is used although the lender resumed      |
      | the lender is busy                   | 2      | 0        | a slot in use is lent                                 |
      | the lender restarts                  | 0      | 1        | a restarted lender uses slots that are still lent     |
      | the lender restarts and 1003 ms pass | 2      | 0        | a restarted lender never uses its slots               |
      | the lender loses a slot to a new router | 0   | 1        | a changed list of routers takes a lent slot back early |

  Scenario Outline: A starving router borrows slots from another one
    Given two routers of one server with 1 slot that <state>
    When the router without a slot gets an order
    Then the order is told "<told>" after <time> ms

    Examples: each row names the failure it guards against
      | state                   | told                        | time | failure                                      |
      | can reach each other    | 200 whole                   | 0    | a router without own slots sends nothing     |
      | cannot reach each other | 503 not-run deadline-passed | 1000 | a router uses a slot that nobody lent it     |

  Scenario Outline: Ejection is stepwise, above a floor, and ends slowly
    Given servers s1 to s4 in failure domain a and s5 to s8 in b
    When the health history is <history>
    Then the shares of <servers> are <shares>

    Examples: each row names the failure it guards against
      | history                                   | servers        | shares              | failure                                                  |
      | s1 fails 4 times                          | s1             | 1.0                 | single failures take a server out of use                 |
      | s1 fails 5 times                          | s1             | 0.5                 | a failing server keeps its full load                     |
      | s1 fails 10 times                         | s1             | 0.25                | the steps are skipped                                    |
      | s1 fails 15 times                         | s1 s2          | 0.0 1.0             | a dead server keeps getting requests                     |
      | s1 fails 5 times and answers once         | s1             | 1.0                 | a server that recovered stays reduced                    |
      | s1 s2 s3 s4 fail 15 times                 | s1 s2 s3 s4    | 0.0 0.0 0.25 0.25   | one router's view ejects a whole failure domain          |
      | s1 s2 s5 s6 s7 fail 15 times              | s1 s2 s5 s6 s7 | 0.0 0.0 0.0 0.0 0.25 | the floor of a failure domain is ignored               |
      | s1 fails 15 times and 1000 ms pass        | s1             | 0.1                 | a returning server gets its full load with cold caches   |
      | s1 fails 15 times and 6000 ms pass        | s1             | 0.25                | the slow start has no slope                              |
      | s1 fails 15 times, answers and 11000 ms pass | s1          | 1.0                 | a server that returned stays reduced                     |
      | s1 is ejected twice and 1500 ms pass      | s1             | 0.0                 | a server that fails again returns as early as before     |

  Scenario Outline: Selection among several allowed servers
    Given own requests in flight <in_flight> and load hints <hints> of age <age> ms
    When the policy least_in_flight selects
    Then it takes <server>

    Examples: each row names the failure it guards against
      | in_flight | hints     | age  | server | failure                                                   |
      | 2 1 3     | 0 0 0     | 0    | s2     | the router's own exact counts are ignored                 |
      | 2 1 3     | 0 90 0    | 0    | s2     | a lagging hint outweighs the exact counts                 |
      | 1 1 1     | 5 9 2     | 0    | s3     | hints are ignored where own counts say nothing            |
      | 1 1 1     | 5 9 2     | 3000 | any    | a hint of long ago sends every request to one server      |

  Scenario: Probes are budgeted
    When a probe is wanted every 10 ms for 10 s
    Then at most 51 probes are made
