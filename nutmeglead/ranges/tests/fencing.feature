Feature: A lost server that returns is told that its keys have another owner

  Scenario Outline: A release that was not answered before the hold ended, where <event>
    # Guards against a server that takes its old keys by a grant that comes late, since it has seen no higher
    # fence; and against releases that go on for ever, or take keys that the server owns again.
    Given a lost server whose keys 0 to 99 have another owner under fence 7
    When <event>
    Then the server is sent a release under fence 7 <count> times in 40 s, the last one after <last_ms> ms

    Examples: each row names the failure it guards against
      | event                                            | count | last_ms | failure                                     |
      | the server answers from 1000 ms on               | 6     | 1100    | the release is not repeated until answered  |
      | the server answers nothing                       | 137   | 29920   | releases go on for ever                     |
      | the server's port is closed from 1000 ms on      | 6     | 1100    | a process that is gone is sent releases     |
      | another server answers from 1000 ms on           | 6     | 1100    | a server that took the address gets them    |
      | the map gives keys to the server from 1000 ms on | 5     | 880     | the server loses keys that it owns again    |
      | this node loses its role after 1000 ms           | 5     | 880     | a node that was replaced goes on            |

  Scenario: The loss of many servers costs few connections
    # Guards against a node that opens hundreds of connections at once when a failure domain is lost.
    Given 100 lost servers whose keys have other owners
    When none of them answers
    Then at most 8 releases are on their way at a time
