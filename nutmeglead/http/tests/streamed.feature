Feature: No request is begun behind an answer that is sent while it arrives

  Scenario Outline: A request that arrives while an answer is streamed
    Given a server that streams its first answer for 1000 ms and <end>
    When a caller of it sends <sending>
    Then <begun> requests have been begun, of which <answered> got a whole answer

    Examples: each row names the failure it guards against
      | end           | sending                                  | begun | answered | failure                                                         |
      | finishes it   | two requests, the second 200 ms later    | 2     | 2        | a request that waits behind a streamed answer is never begun    |
      | breaks it off | two requests, the second 200 ms later    | 1     | 0        | a request is passed on whose answer a cut takes with it (review/13) |
      | breaks it off | two requests, the second in two halves   | 1     | 0        | the same for one whose rest arrives meanwhile                   |

  Scenario Outline: An answer knows whether it shares its connection
    Given a server that streams its first answer for 1000 ms and finishes it
    When a caller of it sends <sending>
    Then the answers that should be whole are <whole>

    Examples: each row names the failure it guards against
      | sending                               | whole | failure                                                  |
      | one request                           | none  | a large answer is held back although nobody waits for it |
      | two requests at once                  | 1 2   | an answer with others behind it, or before it, is cut    |
