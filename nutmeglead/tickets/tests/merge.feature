Feature: Tickets conflict when a ticket after the base touches an overlapping item

  Scenario Outline: Two tickets with the same base
    Given a ticket with <mine>
    When the tickets after its base are one with <theirs>
    Then per_item finds <collisions> collisions
    And head_only finds a conflict
    And per_item finds the same number with the two tickets exchanged

    Examples: each row names the failure it guards against
      | mine                 | theirs                               | collisions | failure                                                        |
      | server lb-01         | server lb-01 leaving                 | 1          | a ticket based on the old state makes a leaving server present |
      | server lb-01         | server lb-02                         | 0          | disjoint tickets are refused                                   |
      | server lb-01         | schnittauftrag server lb-01          | 0          | services with equal server ids block each other                |
      | key a/b              | key a/b for lb-02                    | 1          | the later of two claims overrides the other without an error   |
      | key a/b              | key a/b                              | 1          | the same change is filed again under a new number              |
      | key a/b              | key a/c for lb-02                    | 0          | disjoint claims are refused                                    |
      | key a/b              | schnittauftrag key a/b for sa-02     | 0          | services with equal keys block each other                      |
      | numbers 0-9          | numbers 9-12 for lb-02               | 1          | the last number of a range is taken for excluded               |
      | numbers 0-9          | numbers 10-12 for lb-02              | 0          | adjacent ranges are refused                                    |
      | numbers 0-9          | schnittauftrag numbers 0-9 for sa-02 | 0          | services with equal ranges block each other                    |
      | numbers 3-4          | numbers 0-9 for lb-02                | 1          | a range inside another is taken for disjoint                   |
      | numbers 0-65535      | key a/b for lb-02                    | 1          | a key inside a claimed range is taken for disjoint             |
      | key a/b              | server lb-01 leaving                 | 1          | keys are claimed for a leaving server                          |
      | numbers 0-9          | server lb-01 removed                 | 1          | keys are claimed for a removed server                          |
      | key a/b              | server lb-01 present                 | 0          | filing a server as present again blocks all claims on it       |
      | key a/b for balancer | server lb-01 leaving                 | 0          | returning a key to the balancer blocks the leaving of a server |
      | key a/b; key a/c     | key a/c for lb-02; key a/b for lb-02 | 2          | only the first of several collisions is reported               |

  Scenario: A collision names both items and the ticket
    Given a ticket with server lb-03; key a/b
    When the tickets after its base are one with numbers 0-65535 for lb-02
    Then the collision reads "claims[0] (lagerblick/keys/33415-33415) collides with ticket 5 (lagerblick/keys/0-65535)"

  Scenario: Without a ticket after the base, no rule finds a conflict
    Given a ticket with server lb-03
    When there are no tickets after its base
    Then no rule finds a conflict

  Scenario: Tickets without a conflict give the same state in either order
    Then in 300 generated pairs of tickets, those without a conflict give the same state in either order
