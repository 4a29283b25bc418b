Feature: A server entry that no server can have written is refused, whatever it holds

  Other writers put entries among those of the servers. Such an entry names no server to use, and changes nothing for the others.

  Scenario Outline: An entry with <malformed> appears
    Given a settled cluster of three nodes with seed <seed>
    When another writer puts an entry with <malformed> among the servers
    Then all nodes go on, and refuse the entry
    And the keys stay with their servers, and a hub's copy of the entries can be read

    Examples: each row names the failure it guards against
      | seed | malformed                  | failure                                                                              |
      | 1    | 30000 nested lists         | an error of the decoder that nobody catches ends the processes of all machines       |
      | 2    | 30000 nested objects       | the same, for objects                                                                |
      | 3    | a state of 900 to 1000 nested lists | the error message repeats the value, which is too deep for that             |
      | 4    | a host name as its address | a connection to it looks the name up, which may take long or raise another error     |
      | 5    | a zero byte in its address | a connection to it raises an error that nobody catches                               |
      | 6    | a line break in its id     | the id cannot be sent in a header, so each request to the server fails               |
      | 7    | half of a surrogate pair in its service | the name cannot be encoded in messages to other nodes                    |
      | 8    | half of a surrogate pair in its zone    | the same, for the failure domain                                         |
      | 9    | half of a surrogate pair in its id      | copies of the servers' table cannot be encoded, so other nodes get none  |

  Scenario: Generated entries are refused or can be used
    # Guards against further values that are decoded without an error and raise one when they are first used: logged,
    # hashed, encoded in a map or in a copy, sent in a header or connected to.
    Then 300 generated entries are refused, or used without an error
