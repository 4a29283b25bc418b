Feature: Thrift structs survive encoding, and malformed bytes are refused with a typed error

  Scenario: A page delta decodes to what was encoded
    Given a placement page with previous holders
    When it is encoded and decoded
    Then the decoded page equals the original

  Scenario Outline: Malformed bytes give a CodecError instead of a half-filled struct
    Given a placement page with previous holders
    When its encoding is damaged by <damage>
    Then decoding gives a CodecError

    Examples: each row names the failure it guards against
      | damage         | failure                                          |
      | truncation     | a cut connection passes on a page without owners |
      | emptying       | an empty frame becomes an empty page             |
      | unknown type   | a corrupt byte ends the process                  |
