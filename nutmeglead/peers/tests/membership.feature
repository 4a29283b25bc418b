Feature: Nodes learn from few heartbeats which nodes are alive

  Scenario Outline: Hubs are the first nodes of each failure domain
    Given 12 nodes in 3 failure domains, where <changes>
    Then the hubs are <hubs>

    Examples: each row names the failure it guards against
      | changes                  | hubs                          | failure                                   |
      | all are heard            | n-00 n-01 n-02 n-03 n-04 n-05 | every node sends heartbeats to all others |
      | n-00 is silent           | n-01 n-02 n-03 n-04 n-05 n-06 | other domains lose track after one loss   |
      | n-00 and n-03 are silent | n-01 n-02 n-04 n-05 n-06 n-09 | other domains lose track after two losses |
      | n-09 has more cores      | n-09 n-00 n-01 n-02 n-04 n-05 | the smallest VM does a hub's extra work   |
      | n-01 is leaving          | n-00 n-02 n-03 n-04 n-05 n-07 | a stopping node stays a hub               |

  Scenario: Hubs follow rows that change later
    # Guards against a cached hub order that is not rebuilt after a row changed or was removed.
    Given 12 nodes in 3 failure domains, where all are heard
    When the row of n-09 then names more cores
    Then the hubs are n-09 n-00 n-01 n-02 n-04 n-05
    When the row of n-01 is removed
    Then the hubs are n-09 n-00 n-02 n-04 n-05 n-07

  Scenario: Listing the hubs reads the cores of the hubs' rows only
    # Guards against sorting all nodes for every heartbeat, whose cost grows with the node count.
    Given 12 nodes in 3 failure domains, where all are heard
    When the hubs are listed twice
    Then the second time reads the cores of 6 nodes

  Scenario Outline: The rank counts the live nodes that precede a node, hubs first
    Given 12 nodes in 3 failure domains, where <changes>
    Then the rank of n-11, counted up to the limit <limit>, is <rank>

    Examples: each row names the failure it guards against
      | changes                  | limit | rank | failure                                  |
      | all are heard            | 20    | 11   | two nodes have the same rank             |
      | all are heard            | 3     | 4    | counting does not stop above the limit   |
      | n-00 and n-07 are silent | 20    | 9    | nodes wait for the turn of a lost node   |
      | n-11 has more cores      | 0     | 0    | a hub waits for nodes that come after it |

  Scenario: A node that a hub reports counts as alive for two heartbeat intervals more
    # Guards against nodes that alternate between alive and silent because reports arrive late.
    Given 12 nodes in 3 failure domains, where all are heard
    When hub n-00 reports that it heard n-09 400 ms ago
    Then n-09 is alive for 450 ms more and then it is not

  Scenario: A silent hub is detected by the time since its own last heartbeat
    # Guards against grant renewals that wait until reports of a lost hub have expired too.
    Given 12 nodes in 3 failure domains, where all are heard
    Then n-00 is alive for 550 ms more and then it is not

  Scenario: Requests ask how many nodes are alive without a pass over all nodes
    # Guards against processor time per request that grows with the number of nodes.
    Given 12 nodes in 3 failure domains, where all are heard
    When requests ask 100 times in each of 2 heartbeat intervals how many nodes are alive
    Then the answers are 12, after 2 passes over all nodes

  Scenario: Requests in flight are counted once, whichever heartbeats report them
    # Guards against servers that seem full because the sums of two hubs include the same requests.
    Given a hub that serves two nodes with 3 and 4 requests at a server
    And another hub that reports 5 requests of its group
    And the hub itself has 2 requests at the server
    Then it counts 12 requests elsewhere, reports 9 to hubs and 14 to its nodes

  Scenario: A node subtracts its own requests from its hub's sum
    # Guards against a node that counts its own requests twice and waits for a slot that it holds.
    Given a node that has reported 4 requests at a server in heartbeat 1000
    When its hub reports 10 requests and echoes heartbeat 1000
    Then the node counts 6 requests elsewhere

  Scenario: Requests of a silent node are no longer counted
    # Guards against server slots that stay taken by the requests of a lost node.
    Given a hub that serves two nodes with 3 and 4 requests at a server
    When 900 ms pass without a heartbeat
    Then it reports 0 requests to hubs
