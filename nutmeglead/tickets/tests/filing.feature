Feature: A ticket is filed once under the next number, or refused with nothing written

  Scenario Outline: The table service fails while a ticket is filed
    Given a table with a first ticket
    When a ticket is filed while <fault>
    Then the result is <result>
    And the table holds <tickets> tickets
    And filing it again once the table answers gives number 2 and the table then holds <after> tickets

    Examples: each row names the failure it guards against
      | fault                                                             | result           | tickets | after | failure                                                      |
      | nothing fails                                                     | number 2         | 2       | 2     | -                                                            |
      | the answer is lost and the commit applied                         | number 2         | 2       | 2     | a retry files the ticket a second time                       |
      | the answer is lost and the commit not applied                     | number 2         | 2       | 2     | the operator is told of a ticket that does not exist         |
      | the answer is lost twice, first not applied                       | number 2         | 2       | 2     | the outcome of the second lost answer is not determined      |
      | the answer is lost and the commit applied before the next attempt | number 2         | 2       | 2     | a late commit and the retry both take effect                 |
      | a late commit is followed by an overlapping ticket                | number 2         | 3       | 3     | an accepted ticket is reported as refused                    |
      | the answer is lost, applied, and reads fail                       | FilingUnknown    | 2       | 2     | an accepted ticket is reported as not filed                  |
      | the answer is lost, not applied, and reads fail                   | FilingUnknown    | 1       | 2     | a ticket is reported as filed without evidence               |
      | the answer is lost, applied late, and the retry finds an outage   | FilingUnknown    | 1       | 2     | a late commit takes effect after the report of a refusal     |
      | every answer is lost and no commit applied                        | FilingUnknown    | 1       | 2     | the last commit takes effect after the report of contention  |
      | every answer is lost and only the last commit applied             | number 2         | 2       | 2     | a ticket accepted by the last attempt is reported as unknown |
      | the table is unavailable from the start                           | TableUnavailable | 1       | 2     | an outage is reported as an unknown result                   |
      | the table becomes unavailable at the commit                       | TableUnavailable | 1       | 2     | an outage is reported as an unknown result                   |

  Scenario Outline: The head moves during filing
    Given a table with a first ticket
    When a ticket is filed while <count> disjoint tickets are accepted, each just before its commit
    Then the result is <result>

    Examples: each row names the failure it guards against
      | count | result         | failure                                                         |
      | 1     | number 3       | a ticket overwrites one that another operator filed just before |
      | 7     | number 9       | filing gives up before its last permitted attempt               |
      | 8     | HeadContention | filing is retried without bound                                 |

  Scenario: After a lost answer that later attempts prove not applied, contention is reported instead of an unknown result
    Given a table with a first ticket
    When the first answer is lost, not applied, and 7 further attempts each lose a race
    Then the result is HeadContention
    And the refused ticket left no row

  Scenario: A ticket that meets an overlapping one only at its commit is refused
    Given a table with a first ticket
    When a ticket is filed while an overlapping ticket is accepted just before its commit
    Then the result is TicketConflict
    And the conflict names "servers[0]" and "lagerblick/server/lb-09" of ticket 2
    And the refused ticket left no row

  Scenario: Disjoint tickets of two operators with the same base are both filed
    Given a table with a first ticket
    When two operators file disjoint tickets with base 1
    Then the results are number 2 and number 3
    And the desired state has the servers of both

  Scenario: Filing again with the same id and content gives the same number
    Given a table with a first ticket
    When a ticket is filed twice with the same id
    Then the results are number 2 and number 2
    And the second is reported as a repetition
    And the table holds 2 tickets

  Scenario: A filing id with other content is refused
    Given a table with a first ticket
    When a ticket is filed and then another with the same id
    Then the results are number 2 and FilingIdReused
    And the table holds 2 tickets

  Scenario: A filing id that another operator takes while an answer is lost is refused as reused
    Given a table with a first ticket
    When a ticket is filed while the answer is lost and the id is then taken by other content
    Then the result is FilingIdReused

  Scenario: A filing id that is taken by other content between two reads keeps its first number
    Given a table with a first ticket
    When a ticket based on 2 is filed while its id is taken by ticket 2 just before the head is read
    Then the result is FilingIdReused
    And the table holds 2 tickets

  Scenario: A ticket that a second run of the program files between two reads is not filed again
    Given a table with a first ticket
    When a ticket is filed while a second run files it just before the head is read
    Then the result is number 2
    And the table holds 2 tickets

  Scenario: An overlapping ticket that is accepted after a lost answer is a conflict
    Given a table with a first ticket
    When a ticket is filed while its commit is lost and an overlapping ticket is then accepted
    Then the result is TicketConflict
    And the refused ticket left no row

  Scenario: After the head row is lost, no number is given to a second ticket
    Given a table with a first ticket
    And the row head is deleted
    When a ticket is filed while nothing fails
    Then the result is HeadContention
    And the refused ticket left no row
    And the table holds 1 tickets

  Scenario Outline: A corrupt row stops filing with a typed error
    Given a table with a first ticket
    And the row <row> holds <content>
    When a ticket is filed while nothing fails
    Then the result is CorruptRow
    And the refused ticket left no row

    Examples: each row names the failure it guards against
      | row                          | content                   | failure                                        |
      | head                         | half of its bytes         | a number is given twice                        |
      | head                         | no bytes                  | filing restarts at number 1                    |
      | head                         | a ticket without a number | filing restarts at number 1                    |
      | number/0000000001            | half of its bytes         | a conflict with an unreadable ticket is missed |
      | item/lagerblick/server/lb-01 | half of its bytes         | a claim on a removed server passes             |
      | item/lagerblick/server/lb-01 | a ticket without servers  | a claim on a removed server passes             |

  Scenario: A ticket missing below the head stops filing
    Given a table with a first ticket
    And the row number/0000000001 is deleted
    When a ticket is filed while nothing fails
    Then the result is TicketAbsent

  Scenario Outline: A base that the head does not fit is refused
    Given a table whose head is <head>
    When a ticket with base <base> is filed
    Then the result is <result>

    Examples: each row names the failure it guards against
      | head | base | result      | failure                                                     |
      | 1    | 2    | BaseAhead   | a ticket written for another table is filed in this one     |
      | 1025 | 0    | BaseTooOld  | one filing takes the whole read budget of the table service |
      | 1025 | 1    | number 1026 | a base within the limit is refused                          |

  Scenario Outline: A claim needs a server that is present at the head or in the ticket
    Given a table with a first ticket
    And a ticket that makes lb-02 <state>
    When a ticket with a claim on <server> is filed
    Then the result is <result>

    Examples: each row names the failure it guards against
      | state   | server | result       | failure                                   |
      | present | lb-02  | number 3     | a valid claim is refused                  |
      | leaving | lb-02  | TicketFaults | a leaving server gets new work            |
      | removed | lb-02  | TicketFaults | keys are claimed for a removed server     |
      | present | lb-77  | TicketFaults | keys are claimed for a misspelt server id |
