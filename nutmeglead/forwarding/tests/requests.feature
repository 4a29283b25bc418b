Feature: Every caller gets the whole answer to its own request, or the truth about it

  Two servers of one service listen on loopback. The first one misbehaves; the second one is sound
  and further away, so that it is asked second.

  Scenario Outline: A server misbehaves
    Given a first server that <behaviour>
    When a caller sends <kind> request
    Then the caller gets <answer>
    And <arrivals> requests have arrived at servers

    Examples: each row names the failure it guards against
      | kind        | behaviour                            | answer                  | arrivals | failure                                            |
      | a safe      | good                                 | 200 of the first        | 1        | a request is sent twice for nothing                |
      | an unsafe   | good                                 | 200 of the first        | 1        | an order is sent twice for nothing                 |
      | a safe      | closes                               | 200 of the second       | 2        | a lookup fails with its first server               |
      | an unsafe   | closes                               | 502                     | 1        | an order that may have run is sent again           |
      | a safe      | resets                               | 200 of the second       | 2        | a lookup fails with its first server               |
      | an unsafe   | resets                               | 502                     | 1        | an order that may have run is said not to have run |
      | a safe      | fails                                | 200 of the second       | 2        | an error of one server reaches the caller          |
      | an unsafe   | fails                                | 500 of the first        | 1        | an order that has run is sent again                |
      | a safe      | refuses                              | 200 of the second       | 2        | a full server fails a lookup                       |
      | an unsafe   | refuses                              | 200 of the second       | 2        | an order that has not run is not sent again        |
      | an unsafe   | is busy without a statement          | 502                     | 1        | a status alone is taken for a promise              |
      | a safe      | is busy without a statement          | 200 of the second       | 2        | a status without a statement ends a lookup         |
      | an unsafe   | is another server                    | 200 of the second       | 2        | a reused address fails an order                    |
      | a safe      | sends garbage                        | 200 of the second       | 2        | bytes that are no answer reach the caller          |
      | an unsafe   | sends garbage                        | 502                     | 1        | an order whose answer is spoiled is sent again     |
      | a safe      | cuts the body                        | 200 of the second       | 2        | a cut answer passes as whole                       |
      | an unsafe   | cuts the body                        | 502                     | 1        | a cut answer passes as whole                       |
      | a safe      | sends no length                      | 200 with "whole"        | 1        | a body that ends with its connection is refused    |
      | a safe      | sends no length and resets           | 200 of the second       | 2        | a reset passes as the end of a body                |
      | a safe      | answers twice                        | 200 with "whole"        | 1        | bytes behind an answer reach the caller            |
      | an unsafe   | sends a late extra answer first      | 200 with "whole"        | 1        | the answer to another request reaches the caller   |
      | a safe      | sends no signature                   | 200 of the second       | 2        | a success that no server signed reaches the caller |
      | a safe      | encodes the body                     | 200 of the second       | 2        | an encoded body passes as the server's             |

  Scenario: A second answer never reaches the next request
    Given a first server that answers twice
    When a caller sends a safe request
    And a caller sends a safe request
    Then the caller gets 200 with "whole"
    And the first server has seen 2 connections

  Scenario: No server can be reached
    # Guards against "unknown" for a request that was never sent.
    Given no server that listens
    When a caller sends an unsafe request
    Then the caller gets 503 with a time to come back

  Scenario: A server is silent until the deadline
    # Guards against a promise for an order that may have run.
    Given a first server that silent
    When a caller sends an unsafe request with 150 ms left
    Then the caller gets 504

  Scenario: A caller leaves
    # Guards against work that goes on for a caller that is gone.
    Given a first server that silent
    When a caller sends a safe request and leaves
    Then the server sees its connection closed

  Scenario: Pipelined requests are answered in order
    # Guards against the answer to a quick request in place of the slow one before it.
    Given a first server that slow
    When a caller sends a request for the first server and one without a route behind it
    Then the answers come in the order of the requests

  Scenario Outline: Requests that cannot be forwarded
    Given a first server that good
    When a caller sends a request <fault>
    Then the caller gets <answer>
    And 0 requests have arrived at servers

    Examples: each row names the failure it guards against
      | fault                     | answer | failure                                          |
      | without a route           | 404    | a request reaches a service that no route allows |
      | without an id             | 400    | a server runs a request that nobody can match    |
      | before any manifest       | 503    | a node that knows nothing refuses for good       |
      | with two ways to frame it | 400    | a request hides inside another one               |

  Scenario: A server is told what is left
    # Guards against work beyond the caller's deadline, and against another server at the address.
    Given a first server that good
    When a caller sends a safe request with 700 ms left
    Then the server was given at most 700 ms and its own id
