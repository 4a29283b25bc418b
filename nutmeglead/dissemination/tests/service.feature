Feature: The service runs the machine over rpc on one event loop

  Scenario: A published page reaches the subscribers on all nodes, and routers
    Given 3 controllers and a router on loopback
    When one controller publishes 3 versions of a page
    Then the subscribers of all 4 get version 3 last, each version at most once
    And all 4 hold it with a known age after it is confirmed

  Scenario: A process that starts while the table and the VM list are out takes its state from neighbours
    Given 3 controllers and a router on loopback
    When one controller publishes 3 versions of a page
    And a fourth controller starts that reads the VM list only at the second attempt
    Then it holds version 3

  Scenario: A planned stop is known to the others at once
    Given 3 controllers and a router on loopback
    When one controller stops
    Then the others hold it for gone

  Scenario: A subscriber that fails keeps nothing from the others
    Given 3 controllers and a router on loopback
    When a subscriber on each node fails and one controller publishes 3 versions of a page
    Then the subscribers of all 4 get version 3 last, each version at most once

  Scenario: Subscribers have a change before its sender gets the acknowledgement
    Given 3 controllers and a router on loopback
    When one controller handles a delta to version 1
    Then its subscribers have version 1 already

  Scenario: A router that hears no other controller still knows all routers, and forgets one that leaves
    Given 3 controllers and a router on loopback
    Then the router lists the routers of entry-00, entry-01 and entry-02
    When one controller stops
    Then the router lists the routers of entry-00 and entry-01
