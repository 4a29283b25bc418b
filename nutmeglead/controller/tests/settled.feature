Feature: A controller that leaves settled servers alone still sees what concerns them

  Six servers in three failure domains have held confirmed leases for a while, so that nothing is
  due for any of them.

  Scenario Outline: A change of the entry VMs reaches the rows of settled servers
    Given settled servers
    When a renewer of a settled server <change>
    Then the rows of all settled servers name running renewers again

    Examples: changes
      | change    | failure                                                            |
      | is lost   | a settled server is left with two renewers, and then with one      |
      | restarts  | a renewer that refuses its old assignment is never assigned again  |

  Scenario: A grant set that a release overtakes is sent again under a higher sequence
    # Guards against a settled server that ignores its grants, which it gets after the release.
    Given a settled server whose grant set is on its way
    When a release is sent to it
    Then it waits for a grant set with a higher sequence than the release
