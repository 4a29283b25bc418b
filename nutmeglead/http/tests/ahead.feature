Feature: Requests that are sent ahead on all connections together have a bound

  A server takes 12 connections of callers and requests in progress together. Time is virtual, and each request takes 1000 ms.

  Scenario Outline: Callers send several requests at once
    Given a server with <memory> bytes of memory
    When <callers> callers send <count> requests each, the first <first> of them 100 ms before the others
    Then no request began beside another one of its connection while <limit> or more were in progress
    And the first request of each connection began at once
    And each caller got all its answers

    Examples: each row names the failure it guards against
      | memory  | callers | count | first | limit | failure                                                        |
      | 2000000 | 4       | 8     | 1     | 8     | each connection reads ahead as if it were alone                |
      | 2000000 | 10      | 3     | 1     | 2     | the first request of a connection is held back, or others not  |
      | 2000000 | 10      | 2     | 2     | 2     | the same, where all requests of a connection arrive at once    |
      | 400000  | 2       | 8     | 1     | 3     | requests read ahead take more than the memory                  |

  Scenario: A caller that sends ahead is not slowed down while there is room
    Given a server with 2000000 bytes of memory
    When 2 callers send 5 requests each, the first 1 of them 100 ms before the others
    Then 10 requests were in progress at once

  Scenario: A request that waits for room begins as soon as there is some
    # Guards against a caller that waits for its own slow request although those of others have ended.
    Given a server with 2000000 bytes of memory
    When a caller with a request of 9000 ms sends a second one while another caller has 9 in progress
    Then the second one ends 2000 ms after it was sent at the latest

  Scenario: A request without room is not read
    # Guards against bodies and parsed headers that are held although their requests cannot begin.
    Given a server with 2000000 bytes of memory
    When 10 callers send 2 requests each and 500 ms have passed
    Then the second requests of at least 8 callers are unread

  Scenario: A stop begins while a request that was read waits for room
    # Guards against an answer that closes the connection although another whole request has arrived on it.
    Given a server with 2000000 bytes of memory
    When 10 callers send 2 requests each and the server begins to stop after 500 ms
    Then each caller got all its answers
