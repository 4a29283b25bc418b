Feature: Thrift structs survive encoding, and malformed bytes are refused with a typed error

  Scenario: A message decodes to what was encoded
    Given a range map with a pending range
    When it is encoded and decoded
    Then the decoded map equals the original

  Scenario Outline: Malformed bytes give a CodecError instead of a half-filled struct
    Given a range map with a pending range
    When its encoding is damaged by <damage>
    Then decoding gives a CodecError

    Examples: each row names the failure it guards against
      | damage         | failure                                          |
      | truncation     | a cut connection passes on a map without owners |
      | emptying       | an empty frame becomes an empty map              |
      | unknown type   | a corrupt byte ends the process                  |
