Feature: A stopping node gives up nothing that it has passed on late

  A server may need many times its mean service time. A request that is sent or passed on later than 3 s after SIGTERM has
  no excuse if the node gives it up: it could have been refused, and sent to another node.

  Scenario Outline: A request that is sent late
    Given a service <kind> keys and a request that is "<way>" in a stop
    When its node is stopped, and its server needs longer than the node expects, seed <seed>
    Then what was passed on later than 3 s after the signal got its server's answer
    And no request that had arrived was left without an answer

    Examples: each row names the failure it guards against
      | kind    | way                                                                | seed | failure                                                       |
      | without | accepted last, sends later                                         | 1    | an idle connection takes requests after the port is closed    |
      | without | sent behind a request in progress                                  | 1    | a connection in use takes further requests                    |
      | without | sent after a large answer that was begun before the port is closed | 1    | an answer that was begun before the stop keeps its connection |
      | with    | waits for the owner of its key                                     | 1    | the wait for an owner is not bounded                          |
      | without | waits for servers that want a pause                                | 1    | the wait for servers is not bounded                           |

    Examples: each row names the failure it guards against
      | kind    | way                                                      | seed | failure                                                               |
      | without | accepted last, begins at once and sends the rest later   | 1    | a new connection has begun to bring a request when the port is closed |
      | without | head on a slow link                                      | 1    | a head that takes long is passed on when it is whole                  |
      | without | body on a slow link                                      | 1    | a body that takes long is passed on when it is whole                  |
      | with    | body on a slow link                                      | 1    | the same, to the owner of a key                                       |
      | without | body that waits to be asked for                          | 1    | the time to send a body begins anew when it is asked for              |
      | without | body on a slow link, then waits for full servers         | 1    | what is whole late waits and is passed on later                       |
      | with    | body on a slow link, then waits for full servers         | 1    | the same, at the owner of a key                                       |
      | with    | body on a slow link, then waits for the owner of its key | 1    | what is whole late waits for an owner                                 |
      | without | body on a slow link to servers with a heavy tail         | 1    | the limit knows the mean of the service time only                     |
      | without | arrives while the node stands still                      | 1    | what has arrived meanwhile is read and passed on late                 |

  Scenario Outline: A request that is sent early and passed on late
    # It may be given up if its server is still at work in the last sixth of the grace.
    Given a service <kind> keys and a request that is "<way>" in a stop
    When its node is stopped, and its server needs longer than the node expects, seed <seed>
    Then what was sent and passed on later than 3 s after the signal got its server's answer
    And no request that had arrived was left without an answer

    Examples: each row names the failure it guards against
      | kind    | way                                  | seed | failure                                                           |
      | with    | waits for servers that want a pause  | 1    | a request waits for its owner's pause to end                      |
      | without | waits for full servers               | 1    | a request waits until a server has room                           |
      | without | is tried again late                  | 1    | a second try begins late                                          |
      | with    | is tried again late                  | 1    | the same, at the owner of a key                                   |
      | without | sent ahead before the port is closed | 1    | requests that were read ahead wait for their turn                 |
      | with    | sent ahead before the port is closed | 1    | the same, at the owner of a key                                   |
      | without | sent ahead behind a large answer     | 1    | a request that was read waits for the end of the answer before it |

  Scenario Outline: A request that is sent early and passed on late gets its server's answer all the same
    Given a service <kind> keys and a request that is "<way>" in a stop
    When its node is stopped, and its server needs longer than the node expects, seed <seed>
    Then what was passed on later than 3 s after the signal got its server's answer

    Examples: each row names the failure it guards against
      | kind    | way                                  | seed | failure                                                           |
      | with    | waits for servers that want a pause  | 1    | a request waits for its owner's pause to end                      |
      | without | waits for full servers               | 1    | a request waits until a server has room                           |
      | without | is tried again late                  | 1    | a second try begins late                                          |
      | with    | is tried again late                  | 1    | the same, at the owner of a key                                   |
      | without | sent ahead before the port is closed | 1    | requests that were read ahead wait for their turn                 |
      | with    | sent ahead before the port is closed | 1    | the same, at the owner of a key                                   |
      | without | sent ahead behind a large answer     | 1    | a request that was read waits for the end of the answer before it |
