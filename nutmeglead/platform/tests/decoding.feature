Feature: What the platform says is decoded once, and damage changes nothing

  Scenario Outline: A server entry
    Given a sound server entry
    When its <field> is <value>
    Then the entry <verdict>

    Examples: each row names the failure it guards against
      | field         | value       | verdict                | failure                                      |
      | service       | as it is    | names a server         | a sound entry is refused                     |
      | extra         | 1           | names a server         | an unknown field refuses an entry            |
      | warmup_left_s | 2.5         | is cold for 2500 ms    | a cold start is taken in seconds             |
      | state         | draining    | names a leaving server | a leaving server gets new work               |
      | state         | asleep      | is refused             | a state of another writer is taken for ready |
      | address       | nowhere     | is refused             | an address without a port ends the process   |
      | slots         | many        | is refused             | a text is taken for a number                 |
      | slots         | true        | is refused             | a truth value counts as one slot             |
      | born          | missing     | is refused             | two lives of a server count as one           |
      | zone          | 7           | is refused             | a number is taken for a name                 |

  Scenario Outline: Bytes that are no entry
    Given a sound server entry
    When its bytes are <bytes>
    Then the entry is refused

    Examples: each row names the failure it guards against
      | bytes   | failure                              |
      | nothing | an empty row ends the process        |
      | a list  | a list is taken for an entry         |
      | cut     | half an entry is taken for a whole   |

  Scenario Outline: A manifest
    Given a sound manifest
    When the manifest is sent and <change>
    Then <verdict>

    Examples: each row names the failure it guards against
      | change                              | verdict                                                   | failure                                             |
      | nothing changes                     | it has version 7 and the route lookup to stock            | a sound manifest is refused                         |
      | a route is split 90 to 10           | the route lookup goes to stock with 0.9 and spare with 0.1 | weights are lost                                    |
      | a kind is unknown                   | it is refused                                             | a request that must not repeat is taken for one that may |
      | the version is a number             | it is refused                                             | versions of two forms are compared                  |
      | all weights are zero                | it is refused                                             | a division by zero ends the process                 |
      | an unknown field is added           | it has version 7 and the route lookup to stock            | a newer platform's field refuses the manifest       |
      | times are fractions                 | the route lookup times out after 850 ms                   | fractions of seconds are cut off                    |

  Scenario: Settings name this process and its bounds
    # Guards against an exit at start because of fields that are new or empty.
    Given the settings file of the platform's pages with unknown fields
    Then the node is front-halle-a-1 with its ports, its store and a drain bound of 2000 ms and a grace time of 6000 ms

  Scenario Outline: Damaged settings are refused with the field's name
    Given the settings file of the platform's pages without <field>
    Then the settings are refused and the reason names <field>

    Examples: each row names the failure it guards against
      | field      | failure                              |
      | node       | a process without a name starts      |
      | platform   | a process without a store starts     |
      | listen     | a process without ports starts       |
      | port_range | peers are told of a port that is not |
