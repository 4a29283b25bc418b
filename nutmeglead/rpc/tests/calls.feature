Feature: A call ends with the reply to it or with what is known about the failure

  Scenario Outline: Each failure of a peer has its own type
    Given a peer that <behaviour>
    When it is called once
    Then the call ends with <result>
    And the call <may have run> have run

    Examples: each row names the failure it guards against
      | behaviour                    | result          | may have run | failure                                      |
      | answers                      | the reply       | may          | a working call is reported as failed         |
      | does not listen              | PeerUnreachable | cannot       | a call that was never sent is reported lost  |
      | never answers                | CallTimeout     | may          | a call that may have run is sent again       |
      | closes before the reply      | ConnectionLost  | may          | a cut connection is waited for               |
      | sends a malformed frame      | ConnectionLost  | may          | bytes after a malformed frame are used       |
      | sends a malformed reply      | ReplyMalformed  | may          | a half-filled reply reaches the caller       |
      | has no handler               | CallRefused     | may          | an old peer's silence costs a full timeout   |
      | has a handler that fails     | CallRefused     | may          | a failing handler ends the peer's connection |
      | replies to another call first | the reply      | may          | the answer to another call is delivered      |

  Scenario: Replies in reverse order reach their own calls
    Given a peer that replies in reverse order
    When it is called 8 times at once
    Then each call has its own reply

  Scenario: A call above the frame limit is refused before it is sent
    Given a peer that answers
    When it is called once with a limit of 10 bytes
    Then the call ends with CallTooLarge
    And the call cannot have run

  Scenario: A call that was sent is never reported as not run when its connection is dropped
    Given a peer that never answers
    When it is called 4 times at once and the first timeout drops the connection
    Then each call may have run

  Scenario: Calls in flight are bounded
    Given a peer that never answers
    When it is called 8 times at once
    Then 4 calls end with TooManyCalls and 4 with CallTimeout

  Scenario: A peer that does not listen is not tried again at once
    Given a peer that does not listen
    When it is called once
    And it begins to listen
    Then a call at once ends with PeerUnreachable
    And a call after the backoff ends with the reply

  Scenario: A connection over which nothing arrives is replaced
    Given a peer that answers only on its second connection
    When it is called 2 times one after the other
    Then a call at once ends with the reply

  Scenario: Calls that time out together count as one sign of a dead connection
    Given a peer that answers only on its second connection
    When it is called 4 times at once
    Then a call at once ends with CallTimeout
    And a call at once ends with the reply

  Scenario: Idle connections are closed above the limit
    Given a peer that answers
    When 3 other peers are called with a limit of 2 connections
    Then at most 2 peers have a connection

  Scenario: A malformed frame closes only its connection
    Given a peer that answers
    When another connection sends a malformed frame
    Then that connection is closed
    And a call at once ends with the reply

  Scenario: A graceful close lets running handlers reply
    Given a peer whose handler waits for a signal
    When it is called, told to close and then signalled
    Then the call ends with the reply
    And no later call is answered

  Scenario: Backoff doubles up to its maximum, with jitter over the upper half
    Then the waits after 6 failures double from 20 ms to at most 400 ms
