Feature: A bounded wait ends with the event, the time or a cancellation

  Scenario: A cancellation that arrives together with the event ends the loop that waits
    # Guards against a stopped service whose loop goes on for ever: the demo hung in 2 of 20 runs.
    Given a loop that waits for an event again and again
    When the event is set and the loop is cancelled in the same step
    Then the loop has ended
