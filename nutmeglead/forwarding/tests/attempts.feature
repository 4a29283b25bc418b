Feature: An attempt sends its request only while the server may get it

  Scenario: A server begins to leave while a connection to it is opened
    # Guards against a request that was assigned in time and reaches a leaving server after the drain bound, because opening
    # the connection took up to 300 ms.
    Given an attempt at a server that begins to leave while the connection is opened
    When the attempt runs
    Then nothing was sent and the error says that the server is leaving
    And the request may be tried again without a retry from the budget
