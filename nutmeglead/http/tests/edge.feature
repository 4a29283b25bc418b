Feature: HTTP client and server accept only complete and valid messages

  Scenario: A connection carries several exchanges one after another
    # Guards against a parser that is not reset after an exchange, so that each request needs a new
    # connection.
    Given an HTTP server that echoes request bodies
    When the client sends "one" and then "two" on one connection
    Then the responses are "one" and "two"
    And the client opened 1 connection

  Scenario: A handler that ignores the request body leaves the connection open
    # Guards against closing after every GET, which loses a request that is sent at that moment.
    Given an HTTP server whose handler ignores the request body
    When the client sends "" and then "" on one connection
    Then the client opened 1 connection

  Scenario Outline: A malformed request is rejected as not run and reaches no handler
    Given an HTTP server that echoes request bodies
    When a caller sends the raw request <request>
    Then the raw response begins with status <status>
    And the handler ran 0 times

    Examples: each row names the failure it guards against
      | request              | status | failure                                                |
      | both length headers  | 400    | two parsers disagree on where the next request begins  |
      | header flood         | 431    | headers without a limit exhaust the memory             |
      | no HTTP at all       | 400    | bytes of another protocol reach a handler              |

  Scenario Outline: The answer to the last request of a connection says so
    Given an HTTP server that echoes request bodies
    When a caller sends a request that <request>
    Then the raw response says once that the connection closes

    Examples: each row names the failure it guards against
      | request                   | failure                                                                     |
      | asks for another protocol | the caller sends its next request on a connection that is no longer read    |
      | asks for a close          | the same for a caller that waits for the close                              |
      | is of HTTP/1.0            | the same for an old caller                                                  |

  Scenario Outline: An incomplete or malformed response is an error and ends its connection
    Given a raw server that answers with <response>
    When the client fetches from it
    Then the fetch fails with <error>
    And the connection is not reused

    Examples: each row names the failure it guards against
      | response              | error            | failure                                                     |
      | a short body          | PeerClosed       | a truncated body is returned as a complete one              |
      | a cut chunked body    | PeerClosed       | a body without its last chunk is returned as a complete one |
      | a malformed head      | MalformedMessage | bytes that are not HTTP are returned as a response          |
      | nothing               | PeerClosed       | a closed connection is returned as an empty response        |

  Scenario: A second response on a connection never reaches the next request
    # Guards against reuse of a connection with unread bytes, which a server that responds twice to
    # one request leaves behind.
    Given a raw server that answers with two responses
    When the client fetches from it
    Then the fetch succeeds with body "first"
    And the connection is not reused

  Scenario: A stopping server finishes the running exchange and accepts no new connection
    # Guards against a stop that cuts off a response, or lets the client reuse a closing connection.
    Given an HTTP server whose handler waits until it is released
    When the server is stopped while a request is running
    And the handler is released
    Then the running request gets its whole response with the header connection: close
    And a new connection is refused
    And the server reports 0 connections cut off

  Scenario: A stopping server leaves the end of a connection to its caller
    # Guards against a connection that is closed while the caller may still send, after which the kernel resets it and the
    # caller can lose the answer.
    Given an HTTP server that echoes request bodies
    When the server is stopped after a request whose caller closes its connection 700 ms after the response
    Then the server has closed the connection only after the caller

  Scenario Outline: A stopping server answers the requests that arrive while it stops listening
    # Guards against a planned stop under load that resets connections whose requests the kernel has accepted, and against one
    # that ends while a connection is accepted.
    Given an HTTP server that echoes request bodies
    When the server stops listening just after <count> callers have sent requests on <connections>
    Then each caller gets its whole response
    And the server reports 0 connections cut off

    Examples: each row names the failure it guards against
      | count | connections      | failure                                                             |
      | 20    | new connections  | connections that wait to be accepted are reset                      |
      | 1     | new connections  | a stop without open connections ends before the last one is accepted |
      | 20    | kept connections | a kept connection is closed although a request has arrived on it    |
