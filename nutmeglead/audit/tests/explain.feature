Feature: The owner of a key is explained from pages, tickets and records

  Scenario Outline: The explanation names owner, unit, ticket and reason
    Given a service with <state>
    Then the explanation of <key> has the line "<line>"

    Examples: each row names the failure it guards against
      | state              | key | line                                                                                                         | failure                                                |
      | a pinned key       | k-1 | owner: lb-02, epoch 6, as key 'k-1'                                                                          | the pin is hidden by its bucket                        |
      | a pinned key       | k-2 | owner: lb-01, epoch 3, as bucket 1                                                                           | a pin is taken for its whole bucket                    |
      | a pinned key       | k-1 | since: ticket 4                                                                                              | the ticket of the bucket is named                      |
      | a pinned key       | k-1 | reason: ticket 4 claims it for lb-02 (operator@example: shift change)                                        | the reason of the ticket is lost                       |
      | a pinned key       | k-2 | reason: the placement policy; no ticket claims the key                                                       | a claim is made up                                     |
      | a pinned key       | k-2 | since: unknown                                                                                               | a ticket is named without a record                     |
      | a first placement  | k-2 | since: the first placement of the service                                                                    | a key that never moved seems to have lost its history  |
      | a first placement  | k-1 | since: ticket 4                                                                                              | a pin is taken for a first placement                   |
      | a pending handover | k-1 | waits for: proof that lb-01 is done up to epoch 5                                                            | an operator is told of an owner that may not serve yet |
      | an unwritten claim | k-1 | reason: ticket 4 claims it for lb-02 (operator@example: shift change); the move is not written yet           | a claim is taken for an owner                          |
      | a leaving claimant | k-1 | reason: the placement policy; claims of servers that take no keys have no effect: that of ticket 4 for lb-02 | a suspended claim goes unexplained                     |
      | a gap              | k-1 | missing: entry-1 (1): 3 records missing, records 7 to 9: the buffer was full                                 | an incomplete history looks complete                   |

  Scenario: The history holds the moves of all units of the key and the ends of its servers
    Given a service with a pinned key
    Then the history of k-1 is
      | line                                                                                                    |
      | 1970-01-01 00:00:01.000Z unit_moved bucket 1 none -> lb-01 epoch 6 ticket 1 by entry-1: first placement |
      | 1970-01-01 00:00:02.000Z lease_ended lb-01 epoch 2 ticket 3 by entry-1: stopped by two renewers         |
      | 1970-01-01 00:00:03.000Z unit_moved key 'k-1' lb-01 -> lb-02 epoch 6 ticket 4 by entry-1: claim         |

  Scenario: The JSON form holds the same facts
    Given a service with a pinned key
    Then the JSON form of k-1 names owner lb-02, ticket 4 and 3 records
