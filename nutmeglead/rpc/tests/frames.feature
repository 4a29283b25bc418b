Feature: Frames carry whole envelopes or end the connection with a typed error

  Scenario: Envelopes survive any division of the byte stream
    Then envelopes decode to the same list however their bytes are divided

  Scenario Outline: A damaged stream gives a typed error and nothing after it is used
    Given the frames of two envelopes
    When the second frame is damaged by <damage>
    Then the decoder reports <error>
    And the decoder reports <error> for every later byte

    Examples: each row names the failure it guards against
      | damage               | error          | failure                                             |
      | a huge length        | FrameTooLarge  | a corrupt length makes this process wait for 4 GB   |
      | a length of zero     | FrameMalformed | an empty frame passes as an envelope                |
      | a truncated envelope | FrameMalformed | a cut message is handled as a whole one             |
      | random bytes         | FrameMalformed | bytes of another protocol reach a handler           |

  Scenario: A cut stream is recognised
    Given the frames of two envelopes
    When the last byte is missing
    Then the decoder returns one envelope and holds a partial frame

  Scenario: A message above the limit is refused before it is sent
    Then encoding an envelope above the frame limit gives FrameTooLarge
