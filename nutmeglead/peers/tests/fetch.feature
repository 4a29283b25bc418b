Feature: A copy is fetched from a peer for as long as the peer goes on sending it

  Scenario Outline: A peer <sends>
    # Guards against a large copy over a slow link that is given up with most of it received, again and again.
    Given a peer that <sends>
    When a copy is fetched from it
    Then <result>

    Examples: each row names the failure it guards against
      | sends                                         | result                              | failure                                          |
      | sends its answer in 10 parts, one each 600 ms | the copy has arrived after 6000 ms  | a slow transfer is given up and begins again     |
      | sends one part of its answer and then nothing | the fetch has failed after 1600 ms  | a lost peer is noticed late                      |
      | sends one part each 600 ms without an end     | the fetch has failed after 10000 ms | a peer that never ends keeps a table from others |
