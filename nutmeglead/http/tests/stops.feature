Feature: A stopping server answers what it has read, and reads no more behind it

  Scenario Outline: A request is answered or not handled, and no connection outlasts its latest answer
    Given a server whose answers take 400 ms and are sent <manner>
    When it stops listening and a caller sends <sending>
    Then it has handled <count> and the caller has received <count> whole answers

    Examples: each row names the failure it guards against
      | manner   | sending                                               | count | failure                                                       |
      | at once  | a request, and another one later                      | 1     | a connection takes requests until it is aborted               |
      | at once  | two requests, and another one later                   | 2     | the same, with several requests in progress                   |
      | in parts | a request and half of another one, and the rest later | 1     | an unread request cuts off the answer to the one before it    |
      | at once  | half a request, and the rest later                    | 1     | a connection is closed as idle while a request arrives        |

  Scenario Outline: A caller is told that its connection ends
    Given a server whose answers take 400 ms and are sent at once
    When it stops listening and a caller sends <sending>
    Then the last answer says that the connection closes

    Examples: each row names the failure it guards against
      | sending                             | failure                                                  |
      | a request, and another one later    | the caller waits for an answer to the unread request     |
      | two requests, and another one later | the same, with several requests in progress              |
      | half a request, and the rest later  | the caller sends its next request on a closed connection |

  Scenario: A caller that waits for 100 behind the last answer is not told to go on
    # Guards against bytes that no request waits for, on a connection that the caller was told has ended.
    Given a server whose answers take 400 ms and are sent at once
    When it stops listening and a caller sends a request and the head of one that waits for 100
    Then the last answer says that the connection closes
    And nothing follows the last answer

  Scenario Outline: An answer does not close the connection while more of its caller has arrived
    # Guards against requests that callers send ahead and lose behind an answer that says "close", though they have arrived (issue 60).
    Given a server whose answers take 400 ms and are sent at once
    When it is asked to stop and a caller sends "<sending>" <when>
    Then it has handled <count> and the caller has received <count> whole answers

    Examples: each row names the failure it guards against
      | sending                                               | when                                                     | count | failure                                                           |
      | a request, and another one later                      | before the answer                                        | 2     | the connection closes behind the first answer after SIGTERM       |
      | a request, and another one later                      | while the event loop stands still just before the answer | 2     | what has arrived is looked at before the event loop has read it   |
      | a request and half of another one, and the rest later | before the answer, and the rest after it                 | 2     | half a request that the parser holds counts as nothing            |

  Scenario: Requests that callers send in any pattern around a stop
    # Guards against an answer that is out of order or sent twice, and against a request that had arrived and is closed unanswered.
    When a caller sends requests in random pieces at random times around a stop, seeds 1 to 400
    Then each request that was handled is answered once and in order, and none that had arrived is lost

  Scenario: No request is begun behind an answer that is about to be sent in parts
    # Guards against a request that is passed on and loses its answer with the one before it, if that is cut.
    Given a server whose answers take 400 ms and are sent in parts
    When it is asked to stop and a caller sends "a request, and another one later" while the event loop stands still just before the answer
    Then it has handled 2 and the caller has received 2 whole answers
    And the second request was begun after the end of the first answer

  Scenario: An answer that is cut off at the end of the grace does not look complete
    # Guards against a caller that takes the close of a cut connection for the end of an answer without a length (HTTP/1.0).
    Given a server whose answers take 400 ms and are sent in parts without a length
    When it stops without any grace while it answers a request of HTTP/1.0
    Then the caller's connection ends with a reset

  Scenario: A stop waits for an answer of which a part is not sent yet
    # Guards against a process that ends while the last part of an answer waits in its buffer for a slow caller.
    Given a server whose answers take 400 ms and are sent at once
    When it stops while a caller reads its answer late
    Then the server has stopped only after the caller has received all of it

  Scenario: A malformed request behind one whose caller leaves does not keep a server from stopping
    # Guards against a connection that stays registered for good and makes each stop last for its whole grace.
    Given a server whose answers take 400 ms and are sent at once
    When a caller sends a request and a malformed one, leaves, and the server stops
    Then the server has no connection left before the end of its grace

  Scenario: A request whose rest never arrives does not keep a server from stopping
    # Guards against a stop that waits for a caller that has gone silent until its grace is over.
    Given a server whose answers take 400 ms and are sent at once
    When it stops listening and a caller sends half a request
    Then the server has stopped 3000 ms later

  Scenario: Answers that are due when the grace ends are sent before connections are cut off
    # Guards against a stop that cuts off whole answers because its event loop stood still across the end of the grace.
    Given a server whose answers take 400 ms and are sent at once
    When its event loop stands still from 200 ms before the answer until 200 ms after the end of a grace of 500 ms
    Then it has handled 1 and the caller has received 1 whole answers

  Scenario: The answers to all requests of a connection are sent when they are due as the grace ends
    # Guards against the same for callers that send ahead: each answer waits for the one before it.
    Given a server whose answers take 400 ms and are sent at once
    When it has 16 requests of a caller and its event loop stands still from 200 ms before the answer until 200 ms after the end of a grace of 500 ms
    Then it has handled 16 and the caller has received 16 whole answers
