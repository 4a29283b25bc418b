Feature: Page changes raise epochs and remember every server that may still hold a unit

  Bucket 3 of lagerblick begins at s0 with epoch 1. "move X to S", "add X to S", "remove X" and
  "prove X S@E" are applied in order; the pin abc lies in bucket 3.

  Scenario Outline: A change of placement
    Given the pages after: <changes>
    Then <unit> has owner <owner>, epoch <epoch> and previous holders <previous>

    Examples: changes
      | changes                                                                              | unit   | owner | epoch | previous   | failure                                                       |
      | move bucket to s1                                                                    | bucket | s1    | 2     | s0@1       | a move forgets the server that may hold the unit              |
      | move bucket to s0                                                                    | bucket | s0    | 1     | none       | a move to the owner itself interrupts its keys                |
      | move bucket to s1; move bucket to s0                                                 | bucket | s0    | 3     | s1@2       | a reversal skips the epoch of the intermediate holder         |
      | move bucket to s1; move bucket to s2                                                 | bucket | s2    | 3     | s0@1, s1@2 | the second move forgets the first holder                      |
      | move bucket to s1; move bucket to s0; move bucket to s1                              | bucket | s1    | 4     | s0@3       | a server's older epoch hides its newer one                    |
      | move bucket to s1; prove bucket s0@1                                                 | bucket | s1    | 2     | none       | a proven holder blocks later moves                            |
      | move bucket to s1; move bucket to s0; move bucket to s1; prove bucket s0@1           | bucket | s1    | 4     | s0@3       | an old proof clears a newer holding                           |
      | move bucket to nobody                                                                | bucket | none  | 2     | s0@1       | a unit without a new owner loses its holder                   |
      | add abc to s1                                                                        | abc    | s1    | 2     | s0@1       | a pin is granted while its bucket's owner serves the key      |
      | add abc to s0                                                                        | abc    | s0    | 2     | none       | a pin on the owner itself waits for the owner                 |
      | move bucket to s1; add abc to s2                                                     | abc    | s2    | 3     | s0@2, s1@2 | a pin forgets the bucket's unproven holders                   |
      | add abc to s1; prove abc s0@1; move abc to s0; prove abc s1@2; remove abc; add abc to s1 | abc | s1   | 4     | s0@3       | a pin added again accepts the proof of its first carve-out    |
      | add abc* to s1; add abc to s2                                                        | abc    | s2    | 3     | s0@2, s1@2 | a pin inside a new prefix forgets one of the two former owners |

  Scenario Outline: A change that is refused
    Given the pages after: <changes>
    When the next change is: <change>
    Then it is refused as <error>

    Examples: refusals
      | changes                                                                                         | change            | error                  | failure                                                    |
      | add abc to s1                                                                                   | remove abc        | PinNotRemovable        | removing a pin changes the owner of its key                |
      | add abc to s1; prove abc s0@1                                                                   | remove abc        | PinNotRemovable        | a proven pin is removed although its key would change owner |
      | add abc to s1; move abc to s0                                                                   | remove abc        | PinNotRemovable        | removing a pin forgets its unproven holder                 |
      | add abc to s0; move bucket to s1; move bucket to s0                                             | remove abc        | PinNotRemovable        | removing a pin forgets the unproven holder of its bucket   |
      | add abc to s1                                                                                   | add abc to s2     | UnitExists             | one key gets two pins                                      |
      | none                                                                                            | remove abc        | UnitNotOnPage          | an unknown pin is removed without an error                 |
      | none                                                                                            | move abc to s1    | UnitNotOnPage          | an unknown pin is moved without an error                   |
      | move bucket to s1; move bucket to s2; move bucket to s3; move bucket to s4                      | move bucket to s5 | TooManyPreviousHolders | the list of holders grows without bound during an outage   |

  Scenario: The loss of a server touches one row per page
    Given the pages after: add abc to s0
    Then the loss of s0 touches the rows page/lagerblick/hash/0, page/lagerblick/hash/1 and the pin page of abc
