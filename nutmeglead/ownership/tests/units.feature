Feature: A unit map finds the most specific unit of a key and follows page versions forward only

  Service lagerblick has 512 buckets on 2 hash pages, all owned by s0. Pins are named by their key,
  prefixes by a trailing star.

  Scenario Outline: The most specific unit applies
    Given a unit map with the pins: <pins>
    Then "<key>" is located in <unit> of <owner>

    Examples: keys
      | pins                         | key   | unit   | owner | failure                                             |
      | none                         | abc   | bucket | s0    | a key outside all pins has no owner                 |
      | abc=s1                       | abc   | abc    | s1    | a pinned key goes to its bucket's owner             |
      | abc=s1                       | abcd  | bucket | s0    | a pin is taken for a prefix                         |
      | ab*=s1                       | abc   | ab*    | s1    | a prefix is ignored                                 |
      | ab*=s1                       | ab    | ab*    | s1    | the key that equals the prefix is left out          |
      | ab*=s1                       | a     | bucket | s0    | a key shorter than the prefix matches it            |
      | ab*=s1, abc*=s2              | abcd  | abc*   | s2    | a shorter prefix wins                               |
      | abc*=s2, ab*=s1              | abd   | ab*    | s1    | only the longest prefix is tried                    |
      | ab*=s1, abc=s2               | abc   | abc    | s2    | a prefix wins over a pin                            |
      | a*=s1, abcd*=s2              | abc   | a*     | s1    | a longer prefix that does not match hides a shorter |

  Scenario Outline: Pages are taken over only forward
    Given a unit map with the pins: abc=s1
    When <page> arrives
    Then "abc" is located in <unit> of <owner>

    Examples: pages
      | page                        | unit   | owner | failure                                              |
      | a newer page without pins   | bucket | s0    | a removed pin stays in the map                       |
      | an older page without pins  | abc    | s1    | a late page brings back an old owner                 |
      | the page of another service | abc    | s1    | two services with equal keys overwrite each other    |

  Scenario Outline: Grants leave out what is not proven and carve out what belongs to others
    Given a unit map with the pins: <pins>
    Then with <proof> the grants of <server> contain <granted> and not <left_out>
    And with <proof> the carve-outs of <server> are <carve_outs>

    Examples: grant sets
      | pins                   | proof    | server | granted | left_out | carve_outs | failure                                                       |
      | abc=s1                 | proof    | s0     | bucket  | abc      | abc        | a key pinned elsewhere is served through its bucket           |
      | abc=s1                 | no proof | s1     | nothing | abc      | nothing    | a pin is granted before its key's former owner is done        |
      | abc=s1                 | proof    | s1     | abc     | bucket   | nothing    | a proven pin is never granted                                 |
      | ab*=s1, abc=s0         | proof    | s1     | ab*     | abc      | abc        | a pin inside a prefix is served by the prefix's owner         |
      | ab*=s1, abc=s0         | no proof | s0     | bucket  | abc      | ab*, abc   | an unproven pin of the server itself is served by its bucket  |
      | ab*=s1, xyz=s2         | proof    | s1     | ab*     | bucket   | nothing    | every server is sent all pins of the service                  |

  Scenario: The map lists every unit of a server
    Given a unit map with the pins: abc=s1, ab*=s0
    Then server s0 owns 513 units and server s1 owns 1 unit

  Scenario Outline: The list of a server's units follows every change after it was asked for once
    Given a unit map with the pins: none
    And the units of every server have been listed
    When bucket <bucket> moves to <owner>, then bucket 300 to s1 and back to s0
    Then the units of s0 and s1 are those of a map that reads the pages afresh

    Examples: moves
      | bucket | owner | failure                                                             |
      | 3      | s1    | a page that a server comes to is not searched for its units         |
      | 300    | s1    | a page that a server has left and come back to is not searched      |
      | 3      | s0    | a page on which a server keeps units is forgotten                   |
      | 3      | s2    | the units of a server without buckets fail to be listed             |
