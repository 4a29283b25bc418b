Feature: Hot keys are found in bounded memory and change with the load

  Scenario Outline: The hottest keys are found
    Given a finder of 240 keys that counts one in <every> requests
    When it sees 60000 Zipf requests for 20000 keys in which "gear" has 5% of all
    Then "gear" is the hottest key, estimated within <error>% of its requests
    And at least <found> of the 20 most frequent keys are found
    And no more than 240 keys are kept

    Examples: each row names the failure it guards against
      | every | error | found | failure                                            |
      | 1     | 10    | 20    | the sketch loses a hot key                         |
      | 10    | 25    | 15    | sampled counts are not scaled to all requests      |

  Scenario: Keys that are no longer hot leave within one window
    Given a finder of 240 keys that counts one in 1 requests
    When the hottest 240 keys change from one window to the next
    Then the second window has only keys of the second set

  Scenario: A cycle of keys does not lock onto the sampling
    Given a finder of 240 keys that counts one in 10 requests
    When it sees 10 keys in a fixed cycle of 10 for 50000 requests
    Then each of the 10 keys is estimated within 25% of 5000 requests

  Scenario: A sampling rate below 1 is refused
    Then a finder that counts one in 0 requests is refused
