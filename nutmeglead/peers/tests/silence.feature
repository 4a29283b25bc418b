Feature: A node's silence shows its loss only to nodes that hear most others

  Scenario Outline: A node has started, and all rows are known for 2000 ms
    Given a node that lists 11 others, of which <silent> are silent
    When the other nodes are heard for 1000 ms more
    Then the loss of n-00 is <shown>

    Examples: each row names the failure it guards against
      | silent                                                 | shown     | failure                                         |
      | n-00                                                   | shown     | a takeover waits although the other nodes agree |
      | n-00 n-01 n-02 n-03 n-04 n-05                          | shown     | the same, where half of the nodes are lost      |
      | n-00 n-01 n-02 n-03 n-04 n-05 n-06                     | not shown | a minority takes the role from a live node      |
      | n-00 n-01 n-02 n-03 n-04 n-05 n-06 n-07 n-08 n-09 n-10 | not shown | a node that has just started takes the role     |

  Scenario Outline: Nodes that were heard fall silent <spread_ms> ms after n-00
    # Guards against a node whose link has filled up: it heard n-00 a little earlier than the others.
    Given a node that lists 11 others, of which none are silent
    When the other nodes are heard for <spread_ms> ms more
    Then 600 ms after its last heartbeat, the loss of n-00 is <shown>

    Examples:
      | spread_ms | shown     |
      | 0         | not shown |
      | 250       | not shown |
      | 450       | shown     |

  Scenario Outline: n-00 <state>
    Given a node that lists 11 others, of which <list>
    When n-00 <state>
    Then the loss of n-00 is <shown>

    Examples: each row names the failure it guards against
      | list            | state                                 | shown     | failure                                                    |
      | n-00 are silent | has no row                            | not shown | a node that has just started is taken for one that is gone |
      | n-00 are silent | has had its row for 800 ms            | not shown | the same, for a node whose row has arrived                 |
      | n-00 are silent | has had its row for 900 ms            | shown     | a node that never sends keeps the role                     |
      | none are silent | says that it is leaving               | shown     | a node that is stopping keeps the role until it is silent  |
      | none are silent | was heard, but not all rows were read | not shown | a node that knows few rows takes these few for most        |
