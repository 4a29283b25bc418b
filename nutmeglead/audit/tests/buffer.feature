Feature: Audit records reach the object store once, and a loss is itself recorded

  Scenario: An outage of an hour loses nothing and repeats nothing
    Given a buffer for 10000 records in batches of 500
    When the object store is down for 3600 s while 2 records are written per second and flushed
    And the object store answers and the buffer is closed
    Then the trail holds records 1 to 7200 in order
    And nothing is missing

  Scenario Outline: A full buffer records which sequence numbers are lost
    Given a buffer for <room> records in batches of <batch>
    When the object store is down while <count> records are written
    And the object store answers and the buffer is closed
    Then the trail holds <kept> records and the gaps <gaps>
    And the missing records are <missing>

    Examples: each row names the failure it guards against
      | room | batch | count | kept | gaps  | missing                                                  | failure                             |
      | 10   | 4     | 10    | 10   | none  | none                                                     | a buffer of 10 keeps 9              |
      | 10   | 4     | 11    | 11   | 11-11 | 1 record missing, records 11 to 11: the buffer was full  | a loss leaves no trace              |
      | 10   | 4     | 17    | 11   | 11-17 | 7 records missing, records 11 to 17: the buffer was full | a gap counts only its last record   |
      | 1    | 1     | 3     | 2    | 2-3   | 2 records missing, records 2 to 3: the buffer was full   | a buffer of 1 never records its gap |

  Scenario: Each of two losses is recorded, also while the outage goes on
    Given a buffer for 4 records in batches of 2
    When the object store is down while 5 records are written
    And one batch is put before the object store is down again
    And 3 records are written
    And the object store answers and the buffer is closed
    Then the trail holds 7 records and the gaps 5-5, 8-9

  Scenario: A put whose answer is lost is repeated with the same name and bytes
    Given a buffer for 10 records in batches of 4
    When 2 records are written and their put takes effect without an answer
    And 5 records are written
    And the object store answers and the buffer is closed
    Then the trail holds records 1 to 7 in order
    And no record is in two objects, and each object was put with one body only

  Scenario: Two flushes at the same moment put each record once
    Given a buffer for 10 records in batches of 4
    When 6 records are written and flushed twice at the same moment
    And the object store answers and the buffer is closed
    Then the trail holds records 1 to 6 in order
    And nothing is missing

  Scenario: A process that restarts with records in its buffer is reported as not closed
    Given a buffer for 10 records in batches of 4
    When 3 records are written and flushed
    And 2 records are written
    And the process restarts, writes 1 records and is closed
    Then the missing records are not closed: it still runs, or records after 3 are lost

  Scenario Outline: Damage to the stored trail is reported and the rest is read
    Given a buffer for 10 records in batches of 2
    When 5 records are written and flushed
    And the buffer is closed and <damage>
    Then the trail holds <kept> records and the gaps none
    And the missing records include "<missing>"

    Examples: each row names the failure it guards against
      | damage                          | kept | missing                                                       | failure                              |
      | the first batch is deleted      | 3    | 2 records missing, records 1 to 2: no record names the reason | a missing start goes unnoticed       |
      | the second batch is deleted     | 3    | 2 records missing, records 3 to 4: no record names the reason | a deleted object goes unnoticed      |
      | the last batch is deleted       | 4    | 1 record missing, records 5 to 5: no record names the reason  | a missing end goes unnoticed         |
      | the second batch is cut in half | 4    | 1 record missing, records 4 to 4: no record names the reason  | one bad object hides the whole trail |
      | the end is emptied              | 5    | not closed                                                    | an unreadable end counts as closed   |
      | an unknown object is added      | 5    | unreadable: audit/strange                                     | a strange name ends the reader       |

  Scenario: An outage while the trail is read is a typed error
    Given a buffer for 10 records in batches of 2
    When the object store is down while 1 records are written
    Then reading the trail gives ObjectStoreUnavailable

  Scenario: Every kind of record survives the way to the object store and back
    Given a buffer for 20 records in batches of 20
    When one record of every kind is written and the buffer is closed
    Then the trail holds them with equal fields

  Scenario: A record of a pure machine gets the wall time at which it is written
    Given a buffer for 20 records in batches of 20
    When a record without a wall time is written at 5000 ms and the buffer is closed
    Then the trail holds one record of 5000 ms
