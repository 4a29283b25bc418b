Feature: One node sends what repairs a fault soonest, and no more

  Scenario Outline: What a node does with deltas
    Given a node that holds page 0 at version 1 and has 8 members in 2 failure domains
    When it receives <deltas>
    Then it forwards <forwarded> deltas and fetches <at once> pages at once
    And at the next ticks it fetches from <later>

    Examples: each row names the failure it guards against
      | deltas              | forwarded | at once | later               | failure                                          |
      | 1 to 2              | 1         | 0       | nobody              | members below this node wait for digests         |
      | 1 to 2, 1 to 2      | 1         | 0       | nobody              | a doubled delta is forwarded without end         |
      | page 3, 0 to 1      | 0         | 0       | nobody              | a stale delta is forwarded                       |
      | 0 to 1              | 1         | 0       | nobody              | a node that started with the page cuts off those below it |
      | 2 to 3              | 1         | 0       | the sender, another | a gap stays until digests differ; its sender is asked for ever |
      | 2 to 3, 2 to 3      | 1         | 0       | the sender, another | a doubled delta with a gap is forwarded again    |
      | 2 to 3, 1 to 2      | 2         | 0       | nobody              | a reordered delta costs a whole page             |
      | page 2, 1 to 2      | 1         | 0       | nobody              | a node that has just fetched a page cuts off those below it |
      | page 2, 1 to 2, 1 to 2 | 1      | 0       | nobody              | a doubled delta is forwarded again after a fetch |
      | page 2, 1 to 2 corrupt | 0      | 0       | nobody              | a corrupt delta is passed on after a fetch       |
      | page 2, 1 to 2 altered | 0      | 0       | nobody              | a delta to another content than the own is passed on |
      | page 3, 1 to 2      | 0         | 0       | nobody              | a delta to an older version is forwarded         |
      | published 2, 1 to 2 | 0         | 0       | nobody              | the origin forwards its own delta again          |
      | 1 to 2 corrupt      | 0         | 1       | nobody              | a corrupt delta is passed on, or left to digests |

  Scenario: A router is pushed to at once
    Given a node that holds page 0 at version 1 and has 8 members in 2 failure domains
    When a router attaches to it and a delta arrives
    Then the delta is pushed to the router at once

  Scenario Outline: What a node does about an unanswered push
    Given a node that holds page 0 at version 1 and has 8 members in 2 failure domains
    When it publishes a change and <receiver> does not answer <times>
    Then that receiver gets <pushes> pushes and <replacement> takes its place

    Examples: each row names the failure it guards against
      | receiver             | times | pushes | replacement        | failure                                       |
      | the relay            | once  | 2      | another relay      | a domain waits for the digests of one node    |
      | the relay            | twice | 2      | another relay      | a lost relay is tried without end             |
      | a member below it    | once  | 2      | each of its children | a branch of the tree waits for digests      |

  Scenario Outline: When a node compares digests
    Given a node that holds page 0 at version 1 and has 8 members in 2 failure domains
    When <event> between two ticks
    Then it compares digests with <partners>

    Examples: each row names the failure it guards against
      | event                                          | partners     | failure                                          |
      | a heartbeat shows another digest               | its sender   | a difference waits for a random comparison       |
      | a heartbeat shows another digest, then a delta arrives | nobody | each change starts comparisons everywhere       |
      | it starts anew without pages                   | 3 members    | a restarted node asks one neighbour that is empty too |
      | it is a router whose controller falls silent   | one other member | a router learns missed changes only a second later |
      | it runs for 20 ticks without any page          | at most 1 member | a new service keeps all nodes asking         |

  Scenario: A node that is alone in its failure domain compares with others
    Given a node that holds page 0 at version 1 and has 8 members in 2 failure domains
    When all other members of its failure domain leave
    Then each of its next 10 comparisons has a partner

  Scenario Outline: How old a copy says it is after a comparison that began 500 ms ago
    Given a node that holds page 0 at version 1 and has 8 members in 2 failure domains
    When a neighbour with <versions> answers a comparison with age <age> ms and gives <given>
    Then the copy's age is <result>

    Examples: each row names the failure it guards against
      | versions | age | given       | result  | failure                                                |
      | equal    | 100 | nothing     | 600     | the time of the reply's way is left out                |
      | equal    | -1  | nothing     | unknown | a neighbour that knows nothing makes a copy look fresh |
      | older    | 100 | nothing     | 600     | a copy that is ahead looks old                         |
      | newer    | 100 | all pages   | 600     | a repaired copy looks old                              |
      | newer    | 100 | some pages  | unknown | a copy that is repaired in part looks fresh            |
      | newer    | 100 | no reply    | unknown | a failed repair makes a copy look fresh                |

  Scenario: An older confirmation does not replace a newer one
    Given a node that holds page 0 at version 1 and has 8 members in 2 failure domains
    When its copy is confirmed as of 100 ms ago and then as of 900 ms ago
    Then the copy's age is 100

  Scenario: Many missing pages are fetched in bounded messages, none of them twice
    Given a node that holds page 0 at version 1 and has 8 members in 2 failure domains
    When a neighbour has 150 newer pages
    Then they are fetched in messages of 64, 64 and 22 pages
    And a second neighbour is not asked for them until the first fails

  Scenario: Only newer pages are sent to a neighbour
    Given a node that holds page 0 at version 1 and has 8 members in 2 failure domains
    Then a neighbour that asks with version 0 gets 1 page, and one that asks with version 1 gets 0

  Scenario: A stale controller does not replace the acting one
    Given a node that holds page 0 at version 1 and has 8 members in 2 failure domains
    When entry-01 announces role epoch 5 and then entry-02 role epoch 4
    Then entry-01 is the acting controller

  Scenario Outline: Routers are fed by the controller on their VM, or by another one
    Given 3 entry VMs with a router each
    When the controller on the VM of one router is <fault> and a page changes
    Then every router holds the change within 3000 ms
    And after the fault that router is fed by its own controller again

    Examples: each row names the failure it guards against
      | fault           | failure                                              |
      | fine            | routers wait for digests                             |
      | paused          | a router sends to old owners while its VM's controller is paused |
      | unreachable     | a router never asks another entry VM                 |
      | unreachable like another one | a router insists on one other entry VM  |
      | slow to return  | a router attaches to two controllers for ever        |

  Scenario: A router without any controller says that it is cut off and how old its map is
    Given 3 entry VMs with a router each
    When all controllers are unreachable for one router for 5000 ms
    Then that router says that it is cut off and that its map is at least 5000 ms old
