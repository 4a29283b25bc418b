Feature: Every object store adapter keeps the contract of the ObjectStore port

  Scenario Outline: Objects are put, got and listed
    Given the <adapter> object store with objects <objects>
    When the store runs <operation>
    Then the store gives <answer>

    Examples: each row names the failure it guards against
      | adapter | objects         | operation  | answer                 | failure                                       |
      | memory  | audit/1, log/1  | get        | the body of audit/1    | a stored object is not found                  |
      | memory  | none            | get        | absent                 | an absent object is taken for an outage       |
      | memory  | none            | put        | stored                 | an object is reported stored but is not       |
      | memory  | audit/1         | put        | stored                 | a repeated put is refused                     |
      | memory  | b, audit/2, audit/1 | list   | audit/1, audit/2       | names are out of order or of another prefix   |
      | memory  | none            | list       | no name                | an empty list is taken for an outage          |
      | memory  | an empty one    | get        | an empty body          | an empty object passes as absent              |
      | http    | audit/1, log/1  | get        | the body of audit/1    | a stored object is not found                  |
      | http    | none            | get        | absent                 | an absent object is taken for an outage       |
      | http    | none            | put        | stored                 | an object is reported stored but is not       |
      | http    | audit/1         | put        | stored                 | a repeated put is refused                     |
      | http    | b, audit/2, audit/1 | list   | audit/1, audit/2       | names are out of order or of another prefix   |
      | http    | none            | list       | no name                | an empty list is taken for an outage          |
      | http    | an empty one    | get        | an empty body          | an empty object passes as absent              |

  Scenario Outline: An outage is reported for each operation
    Given the <adapter> object store with objects audit/1
    And the object store is down
    When the store runs <operation>
    Then the store gives ObjectStoreUnavailable

    Examples: each row names the failure it guards against
      | adapter | operation | failure                               |
      | memory  | get       | an outage passes as an absent object  |
      | memory  | put       | an outage passes as a stored object   |
      | memory  | list      | an outage passes as an empty store    |
      | http    | get       | an outage passes as an absent object  |
      | http    | put       | an outage passes as a stored object   |
      | http    | list      | an outage passes as an empty store    |

  Scenario Outline: Another service on the address does not pass as an object store
    Given an object store address that answers <given>
    When the store runs <operation>
    Then the store gives <answer>

    Examples: each row names the failure it guards against
      | given        | operation | answer                 | failure                                        |
      | 404          | get       | ObjectStoreUnavailable | a wrong service passes as an absent object     |
      | 404          | put       | ObjectStoreUnavailable | audit records are dropped as stored            |
      | 404          | list      | ObjectStoreUnavailable | a wrong service passes as an empty trail       |
      | 204          | get       | absent                 | an absent object is taken for an outage        |
      | 204          | put       | ObjectStoreUnavailable | an object that was not taken passes as stored  |
      | 204          | list      | ObjectStoreUnavailable | an answer without names passes as an empty one |
      | 200 hello    | list      | ObjectStoreUnavailable | the answer of a wrong service ends in an error |
      | 200 {}       | list      | ObjectStoreUnavailable | a wrong service passes as an empty trail       |
      | 200 [1]      | list      | ObjectStoreUnavailable | names of another kind are read as objects      |
      | 500          | get       | ObjectStoreUnavailable | a failing service passes as an absent object   |
      | closed       | put       | ObjectStoreUnavailable | a cut connection passes as a stored object     |
      | refused      | get       | ObjectStoreUnavailable | no connection passes as an absent object       |
