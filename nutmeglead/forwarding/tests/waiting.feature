Feature: A request waits only as long as that is of use

  Background:
    Given a service with keys and one server of 4 slots that answers in 80 ms

  Scenario: A key that is moving is served when it has moved
    # Guards against refusals during a planned move, which takes about 100 ms.
    Given the key is moving
    When a request waits and the move ends after 100 ms
    Then the request is placed after 100 ms

  Scenario: A key that has lost its server is refused soon
    # Guards against requests that are held to their end although their key cannot come back in time.
    Given the key is moving
    When a request waits and the move does not end
    Then the request is refused after 300 ms with 450 ms to come back

  Scenario: A server that no connection reaches is not tried by every request
    # Guards against a connect timeout for each request to a silent server.
    Given a connection to the server has just failed
    When a request waits and the move does not end
    Then the request is refused after 300 ms with 450 ms to come back

  Scenario: A burst is served late
    # Guards against refusals that the caller would answer with the same request.
    Given the server has just become full
    When a request waits and 4 slots become free after 150 ms
    Then the request is placed after 150 ms

  Scenario: Lasting overload is refused at once
    # Guards against requests that wait for an answer that comes too late for them and for others.
    Given the server has been full for 1000 ms
    When a request waits and the move does not end
    Then the request is refused after 0 ms with 100 ms to come back

  Scenario: A caller that leaves while it is placed gives its slot back
    # Guards against slots that stay taken by requests that are gone.
    Given the server has just become full
    When a request is cancelled in the moment in which it is placed
    Then the server has no request of this node in flight

  Scenario: The owner of a key that leaves is used for a while
    # Guards against refusals during a planned move of a leaving server's keys.
    Given the server has said 1000 ms ago that it leaves
    When a request waits and the move does not end
    Then the request is placed after 0 ms

  Scenario: The owner of a key that leaves gets nothing after its time
    # Guards against requests to a leaving server beyond the drain bound (26 on a hunted day).
    Given the server has said 1500 ms ago that it leaves
    When a request waits and the move does not end
    Then the request is refused after 300 ms with 450 ms to come back

  Scenario Outline: A node sends its share to a server that is full
    # Guards against all nodes that fill the same free slot (1,087 of 15,557 arrivals rejected on a quiet day).
    Given <nodes> nodes, of which the others have <elsewhere> requests at the server
    When 200 requests for the key come within 2000 ms
    Then <low> to <high> of them are sent

    Examples: the server finishes 100 requests in the time; each row names the failure it guards against
      | nodes | elsewhere | low | high | failure                                               |
      | 12    | 3         | 200 | 200  | a server with a free slot is left idle                |
      | 60    | 30        | 2   | 3    | each of many nodes keeps a request at a full server   |
      | 60    | 7         | 2   | 3    | each of many nodes takes the same place in the queue  |
      | 12    | 7         | 200 | 200  | a server's queue stays empty though few nodes fill it |
      | 12    | 30        | 8   | 10   | a full server gets nothing from a node                |
