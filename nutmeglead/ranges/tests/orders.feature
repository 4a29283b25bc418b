Feature: A node that may have been replaced sends no orders

  Scenario Outline: An order of a node <state>
    Given a node with a map, <state>
    When it sends a <order> to a server
    Then the server has received <count> orders

    Examples: each row names the failure it guards against
      | state                                         | order   | count | failure                                                        |
      | whose map a majority confirms                 | grant   | 1     | no order is sent at all                                        |
      | whose map a majority confirms                 | release | 1     | no order is sent at all                                        |
      | that knows of a newer map                     | grant   | 0     | both nodes act after a hand-over                               |
      | that knows of a newer map                     | release | 0     | a late release takes a key from the owner that it has by now   |
      | that was frozen for longer than its right     | grant   | 0     | a node that wakes up goes on where it stopped                  |
      | that was frozen for longer than its right     | release | 0     | a node that wakes up goes on where it stopped                  |

  Scenario Outline: An order whose connection takes a while to open, at a node <state>
    # Guards against an order that was permitted when its connection was begun, and is written up to its time
    # limit later, when others have stopped to wait for the orders of this node.
    Given a node with a map, <state> while a connection opens
    When it sends a <order> to a server
    Then the server has received <count> orders

    Examples: each row names the failure it guards against
      | state                                | order   | count | failure                                                 |
      | whose map a majority confirms        | grant   | 1     | no order is sent at all                                 |
      | that was frozen                      | grant   | 0     | a node that wakes up goes on where it stopped           |
      | that was frozen                      | release | 0     | a node that wakes up goes on where it stopped           |
      | whose map gives the range to another | grant   | 0     | a grant is written after the node has reported the map  |
      | whose map splits the range           | grant   | 0     | a grant is written after the node has reported the map  |

  Scenario Outline: A server that refuses the renewals of its grants with <status>
    # Guards against grants that are repeated every 50 ms for as long as the map gives the keys to the server.
    Given a node with a map, whose map a majority confirms
    When it renews the grants of the server for 2000 ms, which refuses them with <status>
    Then it has sent grants after <times_ms> ms
    And it has asked <checks> times who has the server's address
    And it counts the owner's address as <address>

    Examples: by what the status says
      | status | times_ms                                      | checks | address |
      | 409    | 0, 50, 100, 200, 400, 800, 1200, 1600         | 0      | its own |
      | 400    | 0, 50, 100, 200, 400, 800, 1200, 1600         | 8      | its own |
      | 421    | 0                                             | 0      | lost    |

  Scenario Outline: A <order> for a server whose address another one has
    # Guards against orders to a server of another service: what requests have learned holds for orders too.
    Given a node with a map, whose map a majority confirms
    And another server has answered at the owner's address
    When it sends a <order> to a server
    Then the server has received 0 orders

    Examples: by order
      | order   |
      | grant   |
      | release |

  # Pattern "long work": servers end work that outlasts the hold which its keys had when it began.
  Scenario Outline: The hold covers the work of a service
    Given a map of a service with a target latency of <before_ms> ms
    When the next map is written with a target latency of <after_ms> ms
    Then grants are in force for <hold_ms> ms
    And decoding the encoded map returns the same hold

    Examples: each row names the failure it guards against
      | before_ms | after_ms | hold_ms | failure                                                             |
      | 300       | 300      | 1200    | a lost server's keys are not served again within 2 s                |
      | 1000      | 1000     | 2500    | one in six lookups of 330 ms ends with the hold and is run again    |
      | 2560      | 2560     | 2500    | a hold outlasts what nodes report of their grants                   |
      | 1000      | 300      | 2500    | an earlier holder still holds keys when they are granted to another |
      | 300       | 700      | 1750    | the hold stays short after the manifest allows longer work          |
