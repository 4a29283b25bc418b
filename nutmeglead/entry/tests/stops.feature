Feature: A planned stop cuts off no request

  Scenario Outline: Callers that send requests ahead lose none that has run
    # Guards against a connection that takes requests until it is aborted, as its caller always has sent the next one before the
    # node answers the latest one.
    Given a cluster and a service <kind> keys whose servers work for <work_ms> ms
    When a node is stopped whose callers keep <depth> requests outstanding, seed <seed>
    Then each of its requests that ran at a server has got a whole answer

    Examples: each row names the failure it guards against
      | kind    | work_ms | depth | seed | failure                                                    |
      | without | 60      | 24    | 1    | requests go on being passed on until the end of the grace  |
      | without | 400     | 24    | 2    | the same, with servers that are full                       |
      | with    | 60      | 24    | 3    | requests behind those that are handled are read one by one |
      | with    | 400     | 3     | 4    | an owner's requests are cut off while it works on them     |

  Scenario Outline: Requests that cannot be answered before the stop are answered by the node
    # Guards against requests that are cut off because nothing tells those that wait, or are tried again, that their node stops.
    Given a cluster and a service <kind> keys whose servers work for <work_ms> ms
    And requests that may take 8700 ms
    When a node is stopped just after its servers <event>, with <depth> requests outstanding on a connection, seed <seed>
    Then no connection was cut off, and the node has stopped after <stopped_ms> ms at most
    And its callers were told <outcome>

    Examples: each row names the failure it guards against
      | kind    | work_ms | event                  | depth | seed | stopped_ms | outcome      | failure                                           |
      | with    | 60      | wanted nothing for 7 s | 1     | 5    | 2400       | not run      | requests wait for a server until they are cut off |
      | without | 60      | wanted nothing for 7 s | 1     | 6    | 2400       | not run      | the same, with a choice of servers                |
      | with    | 60      | became very slow       | 1     | 7    | 5500       | may have run | requests at work are cut off without an answer    |
      | without | 60      | became very slow       | 1     | 8    | 5500       | may have run | the same, with a choice of servers                |
      | with    | 60      | became very slow       | 16    | 11   | 5500       | not run      | requests that wait for a full server are cut off  |
      | without | 60      | became very slow       | 16    | 12   | 5500       | not run      | the same, with a choice of servers                |
      | with    | 60      | lost their keys        | 1     | 9    | 2800       | not run      | requests wait for an owner until they are cut off |
      | with    | 60      | lost all answers       | 4     | 13   | 5500       | may have run | a request is cut off between two tries            |
      | without | 60      | lost all answers       | 4     | 14   | 5500       | may have run | the same, with a choice of servers                |

  Scenario Outline: The times of a stop follow from its grace
    Then a stop with a grace of <grace_ms> ms accepts until <rotation_ms>, sends until <last_start_ms>, answers until <answers_ms> and ends at <end_ms>

    Examples: each row names the failure it guards against
      | grace_ms | rotation_ms | last_start_ms | answers_ms | end_ms | failure                                                      |
      | 30000    | 2300        | 3000          | 29250      | 29500  | a long grace ends seconds before it is over                  |
      | 6000     | 2300        | 3000          | 5250       | 5500   | the last answers are cut off with their connections          |
      | 3000     | 2300        | 2625          | 2625       | 2750   | a short grace ends before its last sixth                     |
      | 2000     | 1750        | 1750          | 1750       | 1833   | a process is killed while it waits for the load balancer     |
      | 0        | 0           | 0             | 0          | 0      | a stop without any grace gives times in the past             |

  Scenario: A request that arrives late in a stop is not passed on
    # Guards against an order that is sent to a server just before its connection is cut off.
    Given a cluster and a service without keys whose servers work for 600 ms
    When a node is stopped and a request begins to arrive 2200 ms later, and takes 2950 ms
    Then the request is answered with 503 and has not run

  Scenario: A node that is stopped before it knows a manifest takes no role
    # Guards against a role that changes hands twice because a node which has just started and is stopped at once takes it.
    When the only node of a cluster is stopped as soon as it has started, seed 1
    Then it has learned of a service with keys, and has not acted for it

  Scenario: A node that reads the stored role when it is stopped does not take it
    # Guards against the same where the store is slow, so that SIGTERM often falls between the reading and the writing of the role.
    When the only node of a cluster is stopped 20 ms after it has started, seed 1
    Then it has learned of a service with keys, and has not acted for it
