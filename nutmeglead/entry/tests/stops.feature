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
