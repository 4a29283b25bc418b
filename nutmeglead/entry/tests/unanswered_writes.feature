Feature: A node that has written a row of its service without knowing acts by what the row says

  A settled cluster on virtual time, as in ownership.feature, with a slow store. A write that gets no
  answer may have been done, or may be done seconds later.

  Scenario Outline: <trouble>
    Given a settled cluster with seed <seed>
    When writes to a store that needs 400 ms get no answer: <trouble>
    Then no key ever has two holders
    And keys are without a holder for at most <gap_ms> ms
    And after 12 s every key is held

    Examples: each row names the failure it guards against
      | seed | trouble                                                         | gap_ms | failure                                                          |
      | 81   | the map is written and then another server crashes              | 6000   | a node takes its own write for that of another, and none acts    |
      | 82   | the role is written by the successor of a killed node           | 6000   | the row names a node that waits for itself to act                |

  Scenario: The role is written late for a node that has stopped trying
    # Guards against a row that names a node which no longer knows of its write.
    Given a settled cluster with seed 83
    And a run of 18 s, of which the late write takes 4 s
    When writes to a store that needs 400 ms get no answer: the role is written late for a node that has stopped trying
    Then no key ever has two holders
    And keys are without a holder for at most 6000 ms
    And at the end every key is held

  Scenario: A map that the acting node wrote without an answer does not cost it the role
    # Guards against a role that changes hands, or is vacant, because a node's own earlier write is in the way of the next one.
    Given a settled cluster with seed 84
    When writes to a store that needs 700 ms get no answer: the map is written and then another server crashes
    Then no other node takes the role
    And no key ever has two holders
    And keys are without a holder for at most 8000 ms
    And after 12 s every key is held

  Scenario: A slow store that does not answer the acting node at all
    # Guards against nodes that read the slow store and leave the role to one that cannot reach it: the map stayed as it was for the
    # whole cut (12 s on the day reuse-leaders-cut).
    Given a settled cluster with seed 85
    When writes to a store that needs 400 ms get no answer: the acting node is cut off from the store and a server crashes
    Then no key ever has two holders
    And keys are without a holder for at most 6000 ms
    And after 12 s every key is held
