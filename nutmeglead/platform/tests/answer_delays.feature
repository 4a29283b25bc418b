Feature: The time for which an answer of the store was under way counts towards the age of its rows

  Scenario Outline: <case>
    # Guards against a leaving server that is used beyond the drain bound by a node whose link is full (front-natal-a-13 read a
    # row 1.58 s after the hubs, and took it for 174 ms old).
    Given a store whose clock is <ahead_ms> ms ahead, and a node that has received an answer after 4 ms
    When <pause_ms> ms later another answer arrives after <transfer_ms> ms
    Then its delay is <delay_ms> ms

    Examples: each row names the failure it guards against
      | case                                   | ahead_ms | pause_ms | transfer_ms | delay_ms | failure                                    |
      | an answer is as fast as the one before | 5000     | 100      | 4           | 0        | rows seem older than they are              |
      | an answer waits on a full link         | 5000     | 100      | 1404        | 1400     | the time on a full link is left out        |
      | the store's clock is behind            | -5000    | 100      | 1404        | 1400     | the clocks are compared as they are        |
      | the fastest answer is a minute old     | 0        | 61000    | 1404        | 1400     | the fastest answer is forgotten at once    |
      | the fastest answer is two minutes old  | 0        | 121000   | 1404        | 1400     | a node that calls seldom loses its measure |
