Feature: The end of a caller's connection with requests unanswered is counted and logged by its cause

  Scenario Outline: Each cause has a name of its own
    Given a server that logs the ends of its callers' connections
    When its connection ends since <event>
    Then the end is logged with cause <cause>, requests <requests> and <unread> unread bytes

    Examples: each row names the failure it guards against
      | event                                        | cause            | requests | unread | failure                                            |
      | a handler fails in the middle of its answer  | handler-failed   | one      | 0      | an error of the product looks like a caller's end  |
      | an answer breaks off before another request  | answer-cut       | one two  | 0      | the requests behind a cut answer are not named     |
      | the connection is cut off by a stop          | stop             | one      | 0      | a stop's cuts are only counted                     |
      | the caller reads no answer                   | slow-reader      | one      | 0      | a slow caller's requests are not named             |

  Scenario: A caller that leaves is counted and not logged
    # Guards against a line for each caller that gives up, which the request log has already.
    Given a server that logs the ends of its callers' connections
    When its connection ends since the caller leaves
    Then 1 end with cause caller-left is counted and none is logged

  Scenario Outline: A request whose handler fails gets an answer that promises nothing
    Given a server that logs the ends of its callers' connections
    When its connection ends since <event>
    Then the answers have the statuses <statuses>, and no end is logged
    And HANDLER_FAILED names <named>

    Examples: each row names the failure it guards against
      | event                                            | statuses | named   | failure                                                            |
      | the handler of a request raises an error         | 502      | one     | a whole request is closed without an answer                        |
      | a handler fails ahead of another request         | 502 200  | one     | the request behind it loses its answer too                         |
      | a handler fails after its whole answer           | 200 200  | one     | the end of the answer, and the requests behind it, are dropped     |
      | a handler answers with an impossible header      | 502      | one     | an answer that cannot be sent closes the connection                |
      | a handler ends with an error of HTTP             | 502      | nothing | the same for an answer that the parser refuses                     |

  Scenario Outline: A stop logs each connection that it ends, and what it did not handle
    # Guards against requests that cross the end of their connection and appear in no line (issue 60).
    Given a server that logs the ends of its callers' connections
    When it stops and its caller has sent <sent>
    Then a line tells cause <cause>, <handled> handled and the discarded requests <discarded> in <bytes> bytes

    Examples:
      | sent                                           | cause       | handled | discarded | bytes |
      | a request long before                          | stop        | 1       | nothing   | 0     |
      | a request, and another one behind its answer   | last-answer | 1       | two       | 42    |
      | a request, and half of one behind its answer   | last-answer | 1       | nothing   | 20    |

  Scenario: A line names no more discarded requests than are looked for
    # Guards against an event loop that stands still in a stop while it parses what callers have sent ahead.
    When a connection has discarded 40 requests of which 16 are asked for
    Then 16 are named, after the parsing of 16

  Scenario: A stop logs no connection whose end was decided on before it
    # Guards against lines that blame a stop for ends which it has not caused, with times before SIGTERM.
    Given a server that logs the ends of its callers' connections
    When it stops 100 ms after an answer that closed its connection, which the caller keeps open
    Then no line tells that a stop has ended a connection
