Feature: Copies of a table hold the changes of large rows instead of the whole rows

  Background:
    Given a hub with a row of 50000 random bytes in version 1, and a node with a copy of it

  Scenario Outline: A node gets the newest value after <changes> changes of a few bytes
    # Guards against copies whose size is that of the row instead of that of its changes.
    When the row changes <changes> times by 4 bytes
    And the node copies from the hub
    Then the node has the newest value
    And the copy was smaller than <limit_bytes> bytes

    Examples: each row names the failure it guards against
      | changes | limit_bytes | failure                                                 |
      | 1       | 300         | one change costs the whole row                          |
      | 5       | 1500        | a node that is several changes behind gets a whole row  |
      | 200     | 60000       | the patches grow without a limit                        |

  Scenario: A node that asks for changes from before the hub's own reading gets them as patches
    # Guards against a change that costs the whole row at nodes whose hub has read the table later than they have.
    Given the hub has read the whole table again in version 5
    When the row changes 1 times by 4 bytes
    And the node copies from the hub
    Then the node has the newest value
    And the copy was smaller than 300 bytes

  Scenario: A node whose own value is another one gets the whole row
    # Guards against a node that never gets a version because the patches do not fit what it has.
    Given the node has read another value of the row in version 1
    When the row changes 1 times by 4 bytes
    And the node copies from the hub
    And the node copies from the hub
    Then the node has the newest value

  Scenario: A node applies the rest of a copy after another copy has brought a part of its patches
    # Guards against a whole row for a node that fetches two copies at once.
    When the row changes 1 times by 4 bytes
    And the row changes 1 times by 4 bytes while the node is sent a copy from before
    Then the node has the newest value

  Scenario: A node that does not accept patches gets the whole row
    # Guards against a node of an earlier version that takes a row with patches for a removed one.
    When the row changes 1 times by 4 bytes
    Then a copy without patches has the newest value

  Scenario: A row that was removed and returns is copied whole
    # Guards against patches whose base the node has not.
    When the row is removed and returns with other bytes
    And the node copies from the hub
    Then the node has the newest value

  Scenario Outline: Compressed data is refused if <fault>
    # Guards against a manifest that differs from the operator's because bytes were damaged on the way.
    When 50000 random bytes are compressed against others and <fault>
    Then they cannot be decompressed

    Examples: each row names the failure it guards against
      | fault                   | failure                                          |
      | a byte is changed       | damaged data is taken for a manifest             |
      | the end is missing      | a part of the data is taken for the whole        |
      | the base is another one | data with parts of another version is put in use |
