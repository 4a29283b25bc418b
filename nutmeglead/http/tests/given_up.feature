Feature: A request that was given up does not arrive later

  Scenario Outline: A request to a server behind a cut, whose sender <fate>
    # Guards against a decision that relies on the end of an exchange, while the kernel still sends the
    # request, and the server runs it after the cut.
    Given a server whose link is cut
    When a request is sent to it on <connection> connection, and its sender <fate>
    Then the server gets no request after the cut

    Examples: each row names the end of the exchange that leaves the request on its way
      | connection | fate                      | failure                                                        |
      | a new      | reaches its time limit    | an aborted connection is closed without a reset                |
      | a kept     | reaches its time limit    | the same on a connection that was kept for reuse               |
      | an own     | reaches its time limit    | the same on a connection for one exchange                      |
      | a kept     | is cancelled              | a cancelled task closes its connection without a reset         |
      | a kept     | closes its idle ones      | a fetcher that closes ends only the exchanges that it has kept |
      | a kept     | is killed                 | the kernel sends on what a killed process has written          |
      | a kept     | is frozen                 | the kernel sends on what a frozen process has written          |

  Scenario Outline: A request on a connection that its owner <fate>
    # Guards against a forwarded request that runs after its caller has left, or beside its retry: the forwarder
    # opens connections by itself, and their limit on unacknowledged data is longer than the cut.
    Given a server whose link is cut
    When a request is sent to it without a fetcher, and its sender <fate>
    Then the server gets no request after the cut

    Examples: each row names the end of the connection that leaves the request on its way
      | fate          | failure                                                   |
      | aborts it     | a connection that is aborted is closed without a reset    |
      | is killed     | the kernel sends on what a killed process has written     |

  Scenario: A connection is open until the fetch that gave it up returns
    # Guards against a sender that takes an exchange for ended while its socket is still to be closed.
    Given a server whose link is cut
    When a request is sent to it on a kept connection, and its sender reaches its time limit
    Then its socket was closed when the sender learned of the time limit

  Scenario: A request that is no longer wanted when its connection is open is not sent
    # Guards against an order that was permitted before its connection was opened, and is written up to its
    # time limit later, when another node has stopped to wait for it.
    Given a server that answers
    When a request is withdrawn while its connection is opened
    Then the server gets no request, and the sender learns that none was sent

  Scenario: The kernel drops what a given-up request has left in its buffers
    # Guards against a reset that only the emulated network performs.
    Given a server on loopback that reads nothing
    When a request of 8 MB is sent to it until its time limit
    Then the server can read only a part of it, which ends with a reset
