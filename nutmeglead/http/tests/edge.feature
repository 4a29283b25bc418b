Feature: The HTTP edge passes on whole messages and nothing else

  Scenario: A connection carries exchanges one after another
    Given an HTTP server that echoes bodies
    When the client sends "one" and then "two" on one connection
    Then the answers are "one" and "two"
    And the client opened 1 connection

  Scenario: A handler that reads no body leaves the connection open for the next request
    # Guards against closing after every GET, which loses a request that is sent at that moment.
    Given an HTTP server that answers without reading
    When the client sends "" and then "" on one connection
    Then the client opened 1 connection

  Scenario Outline: A malformed request is refused as not run
    Given an HTTP server that echoes bodies
    When a caller sends the raw request <request>
    Then the raw answer begins with status <status>
    And the handler ran 0 times

    Examples: each row names the failure it guards against
      | request              | status | failure                                                |
      | both length headers  | 400    | two parsers disagree on where the next request begins  |
      | header flood         | 431    | headers without end fill the memory                    |
      | no HTTP at all       | 400    | bytes of another protocol reach a handler              |

  Scenario Outline: A damaged response is never taken for a whole one
    Given a raw server that answers with <answer>
    When the client fetches from it
    Then the fetch gives <error>
    And the connection is not reused

    Examples: each row names the failure it guards against
      | answer                | error            | failure                                        |
      | a short body          | PeerClosed       | a cut body is passed on as whole               |
      | a cut chunked body    | PeerClosed       | a chunked body without its end passes as whole |
      | a malformed head      | MalformedMessage | garbage is parsed as an answer                 |
      | nothing               | PeerClosed       | a closed connection counts as an empty answer  |

  Scenario: A second answer on a connection never reaches the next request
    Given a raw server that answers with two answers
    When the client fetches from it
    Then the fetch succeeds with body "first"
    And the connection is not reused

  Scenario: A stopping server finishes the running exchange and accepts no new one
    Given an HTTP server whose handler waits for a signal
    When a request is running and the server is told to stop
    And the handler is signalled
    Then the running request gets its whole answer and is told that the connection closes
    And a new connection is refused
    And the server reports 0 cut off exchanges
