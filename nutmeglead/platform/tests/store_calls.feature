Feature: A node reads rows from the store for as long as the store goes on sending them

  Scenario Outline: The store <sends> to a node that calls the <call>
    # Guards against a large row over a full link that is given up with most of it received, again and again.
    Given a store that <sends>
    When a node calls the <call>
    Then <result>

    Examples: each row names the failure it guards against
      | call | sends                                         | result                              | failure                                               |
      | feed | sends its answer in 10 parts, one each 600 ms | the rows have arrived after 6000 ms | a node that follows the store never gets a large row  |
      | read | sends its answer in 10 parts, one each 600 ms | the rows have arrived after 6000 ms | a node cannot recover from a lost history             |
      | feed | sends one part of its answer and then nothing | the call has failed after 2100 ms   | a silent store is noticed late                        |
      | read | sends one part of its answer and then nothing | the call has failed after 2100 ms   | a silent store is noticed late                        |
      | feed | sends one part each 600 ms without an end     | the call has failed after 12500 ms  | a call that never ends keeps back the rows of a table |
      | read | sends one part each 600 ms without an end     | the call has failed after 12000 ms  | a call that never ends keeps back the rows of a table |

  Scenario: A change between two pages of a table is not missed
    # Guards against a node that has read a large table again, after a lost history, and never learns of a change of its first rows.
    Given two pages of a table, which the store reads at versions 7 and 9
    When a node calls the read
    Then the rows of both pages have arrived, and the next feed call asks for changes after version 7

  Scenario: The rows of a feed's answer tell for how long it waited on the link
    # Guards against ages of changes that leave out the time on a full link.
    Given an answer of the store that arrives at once, and one that arrives 900 ms after it was sent
    When a node calls the feed twice
    Then the second answer has a delay of 900 ms
