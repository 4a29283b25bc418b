Feature: Two nodes with equal pages have equal digests, and only newer pages are fetched

  Scenario: The digest depends on the versions alone, not on the order in which they arrived
    Then stores that got any pages in any order have equal digests exactly if their versions are equal

  Scenario Outline: A comparison lists what to fetch
    Given a node with the pages <own>
    When it compares with a neighbour that has the pages <theirs>
    Then it fetches <fetched>

    Examples: each row names the failure it guards against
      | own                 | theirs              | fetched     | failure                                             |
      | hash 0 v3           | hash 0 v3           | nothing     | equal nodes fetch pages without end                 |
      | hash 0 v3           | hash 0 v5           | hash 0 v5   | a missed change stays missed                        |
      | hash 0 v5           | hash 0 v3           | nothing     | a neighbour that lies behind sets a page back       |
      | hash 0 v5, hash 1 v1 | hash 0 v3, hash 1 v2 | hash 1 v2 | a neighbour that lies behind in part is passed over |
      | nothing             | hash 0 v1, pins 0 v2 | hash 0 v1, pins 0 v2 | a restarted node stays empty               |
      | hash 0 v1           | pins 0 v1           | pins 0 v1   | a pin page is taken for the hash page of its number |

  Scenario Outline: A store takes over whole pages only forwards
    Given a node with the pages hash 0 v3
    When it is offered <page>
    Then it has hash 0 at version <version> after <changes> changes

    Examples: each row names the failure it guards against
      | page                            | version | changes | failure                                      |
      | hash 0 v4                       | 4       | 1       | a newer page is refused                      |
      | hash 0 v3                       | 3       | 0       | an equal page is passed to subscribers again |
      | hash 0 v2                       | 3       | 0       | a late page sets the copy back               |
      | hash 0 v4 of another service    | 3       | 0       | a page of another service is taken over      |
      | hash 0 v4 without epochs        | 3       | 0       | a malformed page ends the process later      |
      | hash 0 v4 with an unknown owner | 3       | 0       | a malformed page ends the process later      |
