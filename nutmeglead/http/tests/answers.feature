Feature: Answers of servers and peers cost no more than their bytes

  Scenario Outline: A fetched body is kept once
    # Guards against a second copy of a body when its last part has arrived. A buffer grows by an eighth of its size at a time.
    Given a server whose answer has <count> parts of <size> bytes
    When the client fetches it whole
    Then at most <held> bytes were held at any time

    Examples: each row names the failure it guards against
      | count | size  | held    | failure                                     |
      | 128   | 32768 | 4784128 | the whole body is copied to be returned     |
      | 40000 | 16    | 785536  | parts are kept as objects until the last one |
