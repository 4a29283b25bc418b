Feature: The answer to HEAD states the length that GET would have

  Scenario: A handler states a length without a body
    # Guards against a length of 0, and against a body that the caller would take for the next answer.
    Given a server whose handler states a length of 900 bytes without a body
    When a caller sends HEAD and then GET on one connection
    Then the first answer states 900 bytes and has none, and the second one is whole
