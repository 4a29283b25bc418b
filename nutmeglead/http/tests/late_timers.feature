Feature: A timeout is judged by what has arrived, not by the moment at which its timer runs

  The server's idle timeout is 300 ms and that of a request 400 ms. One pass of its event loop lasts 200 ms, in which a timeout becomes due.

  Scenario Outline: A request that arrives while the event loop stands still is answered
    Given a server whose event loop stands still across a timeout
    When <sending> arrives meanwhile
    Then the caller gets a whole answer to each of its <count> requests

    Examples: each row names the failure it guards against
      | sending                                         | count | failure                                                               |
      | a request on an idle connection                 | 2     | a request that waits in the buffer is closed with its idle connection |
      | the rest of a body                              | 1     | a whole request is closed by the timeout of its head                  |
      | the rest of a body in chunks                    | 1     | the same for a body whose chunks are read in several passes           |
      | the rest of a body behind a request in progress | 2     | a whole request is dropped behind an answer in progress               |
      | a request and half of another one               | 2     | the idle timeout ends a request that has just begun to arrive         |

  Scenario Outline: A request that does not arrive whole in time is refused as not run
    Given a server whose event loop runs in time
    When <sending> arrives and nothing more
    Then the last answer has status 408 and says that the request has not run

    Examples: each row names the failure it guards against
      | sending                              | failure                                                         |
      | half a head                          | a caller whose request is dropped is not told that it may retry |
      | a head without its body              | the same for a body                                             |
      | a head behind a request in progress  | the same for a request that was sent ahead                      |

  Scenario: No answer follows one that closes the connection
    # Guards against a refusal that no caller reads, since the answer before it says that the connection ends there.
    Given a server whose event loop runs in time
    When a head behind a request in progress arrives and nothing more
    Then the caller gets a whole answer to each of its 1 requests
    And only the last answer says that the connection closes

  Scenario: An idle connection is closed without an answer
    # Guards against an answer to no request, which a caller takes for the answer to its next one.
    Given a server whose event loop runs in time
    When nothing arrives
    Then the connection ends without a byte

  Scenario Outline: A limit that is raised holds for callers that wait already
    Given a server whose limits are raised to 900 ms after 100 ms
    When <sending> arrives 700 ms later
    Then the caller gets a whole answer to each of its <count> requests

    Examples: each row names the failure it guards against
      | sending                         | count | failure                                                                             |
      | a request on an idle connection | 2     | a connection is closed before the idle time that the manifest in force allows is over |
      | the rest of a body              | 1     | the same for the time in which a request has to arrive                              |

  Scenario Outline: A request that arrives while its connection is to be closed is answered
    Given a server whose event loop runs in time
    When a request arrives on an idle connection and, before it is read, <event>
    Then the caller gets a whole answer to each of its 2 requests

    Examples: each row names the failure it guards against
      | event                                 | failure                                                            |
      | the connection has to make way        | the limit of connections closes one that has just got a request    |
      | the server closes its idle connections | a stop closes a connection that has just got a request             |

  Scenario: An unfinished request whose connection has to make way is refused as not run
    # Guards against a caller that is closed for others without being told that it may retry.
    Given a server whose event loop runs in time
    When half a head arrives and the connection has to make way
    Then the last answer has status 408 and says that the request has not run

  Scenario: A request that arrives while the idle timeout is handled is answered at once
    # Guards against bytes that are noticed while the server looks for them, and then never read.
    Given a server whose event loop runs in time
    When a request arrives in the pass in which the idle timeout becomes due
    Then the caller has a whole answer 0 ms later

  Scenario: A caller that leaves while the idle timeout is handled leaves no connection behind
    # Guards against a connection that stays registered, and its socket open, for good.
    Given a server whose event loop runs in time
    When the caller leaves in the pass in which the idle timeout becomes due
    Then the server has no connection left

  Scenario Outline: A connection that was to make way is kept once its request is whole
    Given a server whose event loop runs in time
    When <sending> is being read and the connection has to make way
    Then the caller gets a whole answer to each of its <count> requests

    Examples: each row names the failure it guards against
      | sending                   | count | failure                                                     |
      | a body of many chunks     | 1     | the connection is closed while its request is in progress   |
