Feature: Thrift structs decode to what was encoded, and malformed bytes give a CodecError

  Scenario: A range map decodes to the one that was encoded
    # Guards against a field that is lost or changed on its way between two entry VMs.
    Given a range map with a pending range
    When it is encoded and decoded
    Then the decoded map equals the original

  Scenario Outline: Malformed bytes give a CodecError instead of a struct with missing fields
    Given a range map with a pending range
    When its encoding is damaged by <damage>
    Then decoding gives a CodecError

    Examples: each row names the failure it guards against
      | damage       | failure                                                     |
      | truncation   | a cut connection gives a map without owners that is applied |
      | emptying     | an empty message is decoded as a map without ranges         |
      | unknown type | a corrupt byte raises an error that nobody catches          |
