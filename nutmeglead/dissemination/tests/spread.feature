Feature: Every change is in force everywhere within 3 s, under every fault, and never reverts

  Scenario Outline: A change reaches all nodes within 3 s after the fault, in virtual time
    Given 9 entry VMs in 3 failure domains that hold 3 pages
    When pages change while <fault>
    Then every node holds the highest version of each page within 3000 ms
    And no node ever went back to a lower version

    Examples: each row names the failure it guards against
      | fault                                       | failure                                              |
      | nothing fails                               | a push reaches only some of the nodes                |
      | one message in ten is lost                  | a lost delta leaves a node behind                    |
      | every delta is doubled                      | a doubled delta is applied or forwarded without end  |
      | deltas arrive in a random order             | a reordered delta blocks the page                    |
      | old deltas arrive again                     | a stale delta sets a page back                       |
      | one delta in three is corrupt               | a corrupt delta is applied                           |
      | every delta is corrupt                      | whole pages are never fetched                        |
      | every delta is lost                         | digests are never compared                           |
      | one node lies behind                        | a neighbour that lies behind sets others back        |
      | the relay of a domain is paused             | a domain waits for its paused relay                  |
      | all but one node of a domain stop           | a domain is given up with its relays                 |
      | a failure domain is cut off and back        | a healed domain stays behind                         |
      | a node restarts with empty memory           | a restarted node waits for the next change           |
      | another controller takes the role           | deltas of the new acting controller do not apply     |
      | the acting controller stops after one push  | a change that few nodes have is lost                 |

  Scenario: Any interleaving of faults converges to the highest versions, and ages are never too low
    Then any schedule of changes, losses, pauses, restarts and partitions converges

  Scenario: Any order of deltas and pages leads a copy only forwards
    Then a copy that gets any deltas and pages in any order only goes forwards

  Scenario: A process that starts during a table outage takes its state from neighbours
    Given 9 entry VMs in 3 failure domains that hold 3 pages
    And the table service has been out for 60000 ms
    When a node starts with empty memory
    Then every node holds the highest version of each page within 3000 ms
    And the new node reports that its state is at least 60000 ms old

  Scenario: A node that is cut off says so and reports a growing age
    Given 9 entry VMs in 3 failure domains that hold 3 pages
    When one node is cut off for 10000 ms
    Then only this node says that it is cut off from the others
    And the age that it reports is at least 10000 ms, and that of the others less than 10000 ms

  Scenario: A page whose bytes differ unnoticed is repaired by the next delta
    Given 9 entry VMs in 3 failure domains that hold 3 pages
    When a page differs on one node and then changes
    Then every node holds the highest version of each page within 3000 ms
    And the page is the same on all nodes

  Scenario Outline: Liveness spreads among members that do not all hear each other
    Given 40 entry VMs in 4 failure domains
    When <event> happens
    Then all running nodes hold <alive> for alive within 30000 ms

    Examples: each row names the failure it guards against
      | event                                | alive               | failure                                         |
      | one node stops                       | all running nodes   | a stopped node is known to its watchers only    |
      | one node is paused for 5000 ms       | all running nodes   | a resumed node stays silent                     |
      | one node restarts                    | all running nodes   | a new process is known to its watchers only     |
      | a failure domain stops               | all running nodes   | watchers that stop together hide a loss         |
      | a failure domain is cut off for 5000 ms | all running nodes | the two sides of a healed partition stay apart |
      | one node joins that no VM list names | all running nodes   | a node is unknown until the VM list is read     |
