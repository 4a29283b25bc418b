Feature: Costly steps of many connections are taken one by one, so that others are served between them

  Scenario: Large heads that are sent ahead are begun one by one
    # Guards against a crowd whose requests are all parsed and passed on in one pass of the event loop (review/8).
    Given 20 connections that send 8 requests with heads of 15000 bytes ahead each
    When all of them have been begun
    Then at most 1 of them was begun in a pass of the event loop

  Scenario: An ordinary request does not wait for large ones
    # Guards against a queue that all callers share with a crowd.
    Given 20 connections that send 8 requests with heads of 15000 bytes ahead each
    When an ordinary request arrives behind them
    Then it is begun while fewer than 5 of them have been begun since

  Scenario: A connection with few turns goes before those that have had many
    # Guards against a caller whose one large request waits for a whole crowd.
    Given 20 connections that want 6 turns each
    When another one wants its first turn after 100 turns
    Then it gets it after at most 1 other turn

  Scenario: A connection that has had many turns is not passed by without end
    # Guards against a caller that gets no turn for as long as new connections arrive.
    Given 1 connection that has had 5 turns and wants another
    When 200 new connections want a turn each
    Then it gets its turn after at most 40 of them

  Scenario: A turn that was given to a task that is cancelled goes to the next one
    # Guards against a caller that leaves while it waits and takes the turn of all others with it.
    Given 3 connections that want 1 turn each
    When the second one is cancelled as it is given its turn
    Then the others have had theirs
