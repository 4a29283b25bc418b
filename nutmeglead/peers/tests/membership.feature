Feature: Nodes know who lives from few heartbeats

  Scenario Outline: Hubs are the first nodes of each failure domain
    Given 12 nodes in 3 failure domains, where <changes>
    Then the hubs are <hubs>

    Examples: each row names the failure it guards against
      | changes                              | hubs                          | failure                                         |
      | all are heard                        | n-00 n-01 n-02 n-03 n-04 n-05       | every node talks to every other one             |
      | n-00 is silent                        | n-01 n-02 n-03 n-04 n-05 n-06       | a domain is not heard of after a loss           |
      | n-00 and n-03 are silent               | n-01 n-02 n-04 n-05 n-06 n-09       | a domain is not heard of after two losses       |
      | n-09 has more cores                   | n-09 n-00 n-01 n-02 n-04 n-05       | the smallest machine carries the domain         |
      | n-01 is leaving                       | n-00 n-02 n-03 n-04 n-05 n-07       | a stopping node is relied on                    |

  Scenario: Hubs follow rows that change later
    # Guards against an order of nodes that is kept after a row changed.
    Given 12 nodes in 3 failure domains, where all are heard
    When the row of n-09 then names more cores
    Then the hubs are n-09 n-00 n-01 n-02 n-04 n-05
    When the row of n-01 is removed
    Then the hubs are n-09 n-00 n-02 n-04 n-05 n-07

  Scenario: Asking for the hubs looks at no other rows' cores
    # Guards against a cost of each heartbeat that grows with all nodes.
    Given 12 nodes in 3 failure domains, where all are heard
    When the hubs are asked for twice
    Then the second time reads the cores of 6 nodes

  Scenario Outline: Nodes take turns, hubs first
    Given 12 nodes in 3 failure domains, where <changes>
    Then the rank of n-11 counted to <most> is <rank>

    Examples: each row names the failure it guards against
      | changes                      | most | rank | failure                                       |
      | all are heard                | 20   | 11   | two nodes have the same turn                  |
      | all are heard                | 3    | 4    | counting goes over all nodes                  |
      | n-00 and n-07 are silent      | 20   | 9    | a lost node's turn is waited for              |
      | n-11 has more cores           | 0    | 0    | a hub waits for nodes that come after it      |

  Scenario: What a hub tells keeps a node alive for two heartbeats more
    # Guards against nodes that flicker because they are heard of late.
    Given 12 nodes in 3 failure domains, where all are heard
    When hub n-00 tells that n-09 was heard 400 ms ago
    Then n-09 is alive for 450 ms more and then it is not

  Scenario: A hub's own silence is noticed without the others' word
    # Guards against renewals that wait until everybody takes a lost hub for lost.
    Given 12 nodes in 3 failure domains, where all are heard
    Then n-00 is alive for 550 ms more and then it is not

  Scenario: Work adds up once, whoever tells of it
    # Guards against servers that look full because two hubs count the same requests.
    Given a hub that serves two nodes with 3 and 4 requests at a server
    And another hub that tells of 5 requests of its group
    And the hub itself has 2 requests at the server
    Then it knows of 12 requests elsewhere, tells hubs of 9 and its nodes of 14

  Scenario: A node takes its own part off its hub's sum
    # Guards against a node that waits for the slot that it holds itself.
    Given a node that has told of 4 requests at a server in heartbeat 1000
    When its hub tells of 10 requests and echoes heartbeat 1000
    Then the node knows of 6 requests elsewhere

  Scenario: Work of a silent node is forgotten
    # Guards against slots that stay taken by requests of a lost node.
    Given a hub that serves two nodes with 3 and 4 requests at a server
    When 900 ms pass without a word
    Then it tells hubs of 0 requests
