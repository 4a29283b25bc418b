Feature: An answer that the kernel still holds reaches its caller, whatever the caller sends meanwhile

  Scenario: A stop closes no idle connection whose caller has not taken its answer yet
    # Guards against a reset by the kernel, which drops the answer when a further request arrives behind the close (issue 60).
    Given a server whose answer a caller leaves unread, so that the kernel holds it
    When the server stops, and the caller sends another request before it reads on
    Then the first answer has arrived whole

  Scenario: A connection with its last answer is read on while its caller takes it
    # Guards against the same reset a second after an answer that says "close", on a slow link.
    Given a server whose answer a caller leaves unread, so that the kernel holds it
    When the answer says that the connection closes, and the caller reads slowly and sends another request
    Then the first answer has arrived whole

  Scenario: The idle timeout does not drop an answer that its caller has not taken yet
    # Guards against the same reset where a manifest sets a short idle timeout, or a caller reads for long.
    Given a server whose answer a caller leaves unread, so that the kernel holds it
    When the idle timeout is over, and the caller sends another request before it reads on
    Then the first answer has arrived whole

  @known_red
  Scenario: The limit of connections does not drop an answer that its caller has not taken yet
    # Guards against the same reset where a new caller takes the place of one that still reads.
    Given a server whose answer a caller leaves unread, so that the kernel holds it
    When the connection makes way for another, and the caller sends another request before it reads on
    Then the first answer has arrived whole

  Scenario Outline: A connection does not end while its caller takes the last answer
    When of a last answer <left> bytes are left each <interval_ms> ms
    Then the connection ends at look <count>

    Examples: each row names the failure it guards against
      | left        | interval_ms | count | failure                                                          |
      | 0           | 1000        | 1     | a connection whose caller has all of it is kept                  |
      | 900 400 0   | 1000        | 3     | a caller that reads slowly loses the rest of its answer          |
      | 900 900     | 1000        | 2     | a caller that takes nothing keeps its connection                 |
      | 900 950     | 1000        | 2     | the end of the stream, which counts as a byte, looks like a move |
      | 900 800 700 | 4000        | 3     | a caller that takes little at a time keeps its connection        |
