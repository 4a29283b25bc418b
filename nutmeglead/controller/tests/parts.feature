Feature: Parts of the controller

  Scenario Outline: Taking the role
    Given a controller "c1" whose rivals are seen as: <nodes>
    And the role row is <row>
    When <event>
    Then it takes the role: <takes>

    Examples: Each row names the failure it guards against
      | nodes                | row       | event                      | takes          | failure                                     |
      | c1 up, c2 down       | absent    | 100 ms pass                | yes, epoch 1   | a new service has no controller             |
      | c1 up, c2 up         | c2#1 at 4 | 100 ms pass                | no             | an acting controller is replaced            |
      | c1 up, c2 down       | c2#1 at 4 | 100 ms pass                | no             | one missed heartbeat costs the role         |
      | c1 up, c2 down       | c2#1 at 4 | 1600 ms pass               | yes, epoch 5   | a silent holder keeps the role              |
      | c1 up, c2 up again   | c2#1 at 4 | 100 ms pass                | yes, epoch 5   | a restarted holder acts without its memory  |
      | c1 up, c2 flapping   | c2#1 at 4 | 1600 ms pass               | no             | earlier silence counts after a sign of life |
      | c1 up, c2 c3 c4 down | c2#1 at 4 | 1600 ms pass               | no             | a cut-off minority takes the role           |
      | c1 up, c2 c3 c4 down | c2#1 at 4 | 11700 ms pass              | yes, epoch 5   | the loss of most entry VMs ends control     |
      | c1 up, c2 down       | c2#1 at 4 | another writes it first    | no             | a conflict is repeated at once              |
      | c1 up, c2 down       | c1#1 at 4 | 1600 ms pass               | no             | the holder writes its own role again        |
      | c1 up, c2 down       | c1#0 at 4 | 100 ms pass                | yes, epoch 5   | an earlier incarnation's epoch is used      |
      | c1 up, c2 down       | unread    | 1600 ms pass               | no             | a role is taken without reading the row     |

  Scenario: Two candidates for a silent holder's role
    When all of 8 entry VMs consider the role of a ninth that is silent
    Then exactly one of them writes the row

  Scenario Outline: Choosing renewers
    Given entry VMs <nodes>
    When renewers are <chosen_for> for a server in domain "a"
    Then they are in the domains <domains>

    Examples: Each row names the failure it guards against
      | nodes                    | chosen_for                | domains | failure                                        |
      | a1 a2 b1 b2 c1 c2        | chosen                    | a b c   | the loss of one domain takes two renewers      |
      | a1 a2 b1 b2 c1 c2 d1     | chosen                    | a * *   | no renewer is in the server's own domain       |
      | a1 a2 b1 b2              | chosen                    | a a b   | with two domains there are only two renewers   |
      | a1 b1                    | chosen                    | a b     | too few nodes give no renewers                 |
      | a1 a2 b1 b2 c1- c2-      | chosen                    | a a b   | a silent node is chosen                        |
      | a1 a2 b1 b2 c1 c2        | replaced after b1 is gone | a b c   | a replacement comes from a used domain         |
      | a1 a2 b1- b2- c1 c2 d1   | replaced after b1 is gone | a c d   | a free domain is not used                      |
      | a1 a2 b1- b2- c1 c2      | replaced after b1 is gone | none    | a cut-off domain gets a majority               |
      | a1 a2 c1 c2              | replaced after b1 is gone | a ? c   | a domain that is gone is waited for            |
      | a1 b1- c1                | replaced after b1 is gone | none    | a renewer is replaced by itself                |

  Scenario Outline: A ticket in force
    Given a tracker of digests with the history: <history>
    Then ticket <ticket> is in force with live nodes "<nodes>" and unproven "<unproven>": <answer>

    Examples: Each row names the failure it guards against
      | history                                  | ticket | nodes | unproven | answer        | failure                                        |
      | map 7; planned 1; n1 reports 7           | 1      | n1    |          | yes           | a ticket is never in force                     |
      | map 7; n1 reports 7                      | 1      | n1    |          | no controller | an unplanned ticket counts                     |
      | map 7; planned 1; map 8; n1 reports 7    | 1      | n1    |          | yes           | a later map state is asked for                 |
      | map 7; map 8; planned 1; n1 reports 7    | 1      | n1    |          | no n1         | a node behind the ticket counts                |
      | map 7; map 8; planned 1; n1 reports 9    | 1      | n1    |          | no n1         | an unknown digest counts                       |
      | map 7; planned 2; n1 reports 7           | 1      | n1    |          | yes           | an overtaken ticket is never in force          |
      | map 7; planned 1; n1 reports 7           | 2      | n1    |          | no controller | a newer ticket counts by an older one          |
      | map 7; planned 1; n1 reports 7           | 1      | n1 n2 |          | no n2         | a node that never reported is left out         |
      | map 7; planned 1; n1 reports 7; n1 again | 1      | n1    |          | no n1         | a report of an earlier incarnation counts      |
      | map 7; planned 1; n1 reports 7           | 1      | n1    | s1       | no s1         | an unproven holder is left out                 |
      | map 7; map 8; planned 1; n1 reports 8; n1 reports 7 | 1 | n1 |       | yes           | a late report takes a node back                |

  Scenario Outline: The budget of table writes
    Given a budget of 75 rows per second
    When <first> rows are asked for, and <second> rows <later> ms later
    Then <got_first> and <got_second> rows are allowed

    Examples: Each row names the failure it guards against
      | first | second | later | got_first | got_second | failure                                   |
      | 10    | 10     | 0     | 10        | 10         | a small change waits                      |
      | 100   | 10     | 0     | 75        | 0          | a burst exceeds a second's rows           |
      | 100   | 100    | 1000  | 75        | 75         | the bucket does not fill again            |
      | 100   | 100    | 10000 | 75        | 75         | an idle time is saved up                  |
      | 75    | 10     | 40    | 75        | 0          | more than the limit in one second         |
      | 75    | 10     | 999   | 75        | 0          | an idle second allows twice the limit     |
      | 30    | 75     | 500   | 30        | 45         | the rest of a second is not allowed       |
      | 75    | 10     | -500  | 75        | 0          | a clock that goes back gives rows         |

  Scenario Outline: A renewer reports a silent server
    Given a renewer with late rounds whose renewals <lost> are lost
    Then it has reported the server as silent within 1500 ms: <reported>

    Examples: Each row names the failure it guards against
      | lost  | reported | failure                                  |
      | none  | no       | a server that answers is suspect         |
      | 3     | no       | one lost message makes a server suspect  |
      | 3 5   | no       | losses with an answer in between add up  |
      | 3 4   | yes      | a silent server is not reported          |
