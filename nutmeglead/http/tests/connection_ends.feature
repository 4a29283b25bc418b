Feature: The end of a caller's connection with requests unanswered is counted and logged by its cause

  Scenario Outline: Each cause has a name of its own
    Given a server that logs the ends of its callers' connections
    When its connection ends since <event>
    Then the end is logged with cause <cause>, requests <requests> and <unread> unread bytes

    Examples: each row names the failure it guards against
      | event                                        | cause            | requests | unread | failure                                            |
      | the handler of a request raises an error     | handler-failed   | one      | 0      | an error of the product looks like a caller's end  |
      | an answer breaks off before another request  | answer-cut       | one two  | 0      | the requests behind a cut answer are not named     |
      | the connection is cut off by a stop          | stop             | one      | 0      | a stop's cuts are only counted                     |
      | the caller reads no answer                   | slow-reader      | one      | 0      | a slow caller's requests are not named             |

  Scenario: A caller that leaves is counted and not logged
    # Guards against a line for each caller that gives up, which the request log has already.
    Given a server that logs the ends of its callers' connections
    When its connection ends since the caller leaves
    Then 1 end with cause caller-left is counted and none is logged
