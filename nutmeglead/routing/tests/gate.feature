Feature: A server that does not check grants is reached through its gate only, under the gate's lease

  Scenario Outline: The gate admits what its lease and grants cover and refuses the rest as not run
    Given a gate whose holder is <state>
    When a router sends it an order at epoch <epoch>
    Then the router is told <told>
    And the server ran <runs> requests

    Examples: each row names the failure it guards against
      | state            | epoch | told                | runs | failure                                               |
      | granted          | 1     | 200                 | 1    | a valid order is refused                              |
      | granted          | 2     | 421 epoch-mismatch  | 0    | an order passes before the key's move is proven       |
      | never granted    | 1     | 421 not-owner       | 0    | an order passes a gate that holds nothing             |
      | lapsed           | 1     | 421 lease-lapsed    | 0    | an order passes after the lease, when keys have moved |
      | released         | 1     | 421 not-owner       | 0    | an order passes after the release                     |
      | stopping         | 1     | 421 not-owner       | 0    | a gate that lets go takes new work                    |

  Scenario Outline: A unit counts as released only when nothing can run at the server any more
    Given a gate whose holder is granted
    And the server's answer is <answer>
    When a router sends it an order at epoch 1 and the unit is released
    Then the release is <at once> at once and <at the deadline> after the order's deadline

    Examples: each row names the failure it guards against
      | answer  | at once  | at the deadline | failure                                                  |
      | whole   | DONE     | DONE            | an answered order holds up the move                      |
      | none    | DRAINING | DONE            | the key moves while its order may still run              |
      | cut     | DRAINING | DONE            | a cut connection is taken as the end of the run          |
      | refused | DONE     | DONE            | an order that reached no server holds up the move        |

  Scenario Outline: A failure behind the gate keeps its meaning on the way to the caller
    Given a gate whose holder is granted
    And the server's answer is <answer>
    When a router sends it an order at epoch 1
    Then the router is told <told>

    Examples: each row names the failure it guards against
      | answer  | told                        | failure                                              |
      | cut     | 504 unknown                 | an order that may have run is sent again             |
      | none    | 504 unknown                 | an order that may have run is sent again             |
      | refused | 503 server-unreachable      | an order that was not run is reported as unknown     |

  Scenario Outline: A gate that stops says so only when nothing can run any more
    Given a gate whose holder is granted
    And the server's answer is <answer>
    When a router sends it an order at epoch 1 and the gate is told to stop
    Then a renewal is answered <first> at once and <later> after the order's deadline

    Examples: each row names the failure it guards against
      | answer | first   | later  | failure                                                     |
      | whole  | LAPSED  | LAPSED | the next gate waits for a lapse after a planned stop        |
      | none   | nothing | LAPSED | the next gate is used while an order of this one still runs |
