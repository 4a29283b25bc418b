Feature: Answers of servers and peers cost no more than their bytes

  Scenario Outline: Answers in small chunks that have all arrived
    Given <count> connections with answers of 1500 chunks of 16 bytes that have arrived
    When each of them reads its answer
    Then the first pass of the event loop takes at most <first> parts, and each later one at most 64

    Examples: each row names the failure it guards against
      | count | first | failure                                                              |
      | 1     | 64    | an answer occupies the event loop until all that has arrived is read |
      | 20    | 1280  | connections that have arrived together share each pass               |

  Scenario Outline: Bytes that have arrived from a server count until they are used
    # Guards against bytes in the buffers of a connection, or in the part that waits for a caller, that nobody counts.
    Given a connection that counts, on which the head of an answer and <count> chunks of <size> bytes have arrived
    When <read> parts are read and <later> more chunks arrive
    Then at least <least> bytes are counted
    And none are when the exchange ends by <end>

    Examples: each row names the failure it guards against
      | count | size  | read | later | least | end               | failure                                        |
      | 1500  | 16    | 0    | 0     | 33000 | an abort          | unread bytes are not counted                   |
      | 1500  | 16    | 1    | 0     | 33000 | an abort          | what the parser holds is not counted           |
      | 1500  | 16    | 1    | 500   | 44000 | an abort          | bytes that arrive during a wait are not counted |
      | 1     | 32768 | 1    | 0     | 32768 | an abort          | the part that was read last is not counted     |
      | 1500  | 16    | 1500 | 0     | 0     | its last chunk    | bytes of an answer that was read stay counted  |

  Scenario Outline: A fetched body is kept once
    # Guards against a second copy of a body when its last part has arrived. A buffer grows by an eighth of its size at a time.
    Given a server whose answer has <count> parts of <size> bytes
    When the client fetches it whole
    Then at most <held> bytes were held at any time

    Examples: each row names the failure it guards against
      | count | size  | held    | failure                                     |
      | 128   | 32768 | 4784128 | the whole body is copied to be returned     |
      | 40000 | 16    | 785536  | parts are kept as objects until the last one |
