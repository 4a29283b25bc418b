Feature: The time limit of connecting is judged by whether the connection is established

  Scenario: A connection that is established while the event loop stands still is used
    # Guards against a server that accepts at once and is taken for unreachable.
    Given a listening server
    When the event loop stands still for 400 ms while a client connects within 300 ms
    Then the client has a connection

  Scenario: A connection that is not established in time is given up
    Given a server whose queue of connections is full
    When the event loop stands still for 400 ms while a client connects within 300 ms
    Then the client has no connection
