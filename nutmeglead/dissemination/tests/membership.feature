Feature: Entry VMs know from hints who is alive, silent or gone

  Scenario Outline: What a node believes of one member
    Given a node with the settings heartbeat 500 ms, silent after 1500 ms and gone after 30000 ms
    When it experiences <events>
    Then it believes that the member is <state>

    Examples: each row names the failure it guards against
      | events                                          | state   | failure                                              |
      | heartbeat 1                                     | alive   | an unlisted member is never used                     |
      | heartbeat 1, wait 2500                          | silent  | a stopped member is used for ever                    |
      | heartbeat 1, wait 1000, heartbeat 2, wait 1000  | alive   | one lost heartbeat makes a member silent             |
      | heartbeat 2, wait 1000, heartbeat 1, wait 1500  | silent  | a late heartbeat keeps a stopped member alive        |
      | heartbeat 1, wait 2500, heartbeat 2             | alive   | a member that returns stays silent                   |
      | heartbeat 1, wait 1000, reply, wait 1000        | alive   | a member whose heartbeats are lost one way is silent |
      | VM list live                                    | alive   | a process that starts alone asks nobody              |
      | VM list live, wait 2500                         | silent  | a late VM list keeps a lost member alive             |
      | heartbeat 1, wait 2500, nameless news silent 9, heartbeat 2 | alive | news without a process shuts the process out for ever |
      | heartbeat 1, wait 2500, news alive 9            | silent  | a member that only others reach gets pushes from here |
      | heartbeat 1, VM list gone                       | alive   | a wrong VM list takes out a member that is heard     |
      | heartbeat 1, wait 2500, VM list gone            | gone    | heartbeats are sent to a lost VM for ever            |
      | heartbeat 1, wait 40000                         | gone    | members that nobody lists collect for ever           |
      | VM list live, heartbeat 1, wait 40000           | silent  | a member behind a long partition is given up         |
      | heartbeat 1, leaving heartbeat 2                | gone    | a planned stop costs 1500 ms of lost pushes          |
      | heartbeat 1, leaving heartbeat 2, heartbeat 3   | gone    | a late message brings a stopped process back         |
      | heartbeat 1, wait 500, own pause 5000           | alive   | a paused node holds all others for silent            |
      | heartbeat 1, wait 500, own pause 5000, wait 2500 | silent | a pause excuses a stopped member for ever            |

  Scenario Outline: What a node tells the others of a member
    Given a node with the settings heartbeat 500 ms, silent after 1500 ms and gone after 30000 ms
    When it experiences <events>
    Then its next heartbeats tell that the member is <status> at sequence <sequence>

    Examples: each row names the failure it guards against
      | events                                              | status | sequence | failure                                       |
      | heartbeat 3, reply 7, wait 1000, reply of another, wait 1500 | SILENT | 7        | older news of life overrides a loss           |
      | heartbeat 3, wait 2500, heartbeat 9                 | ALIVE  | 9        | a return is not told to those far away        |
      | heartbeat 3, wait 2500, reply 9                     | ALIVE  | 9        | a return is not told to those far away        |
      | heartbeat 3, wait 1000, reply of another, wait 4000 | SILENT | 3        | a member that is lost is known to its watchers only |

  Scenario: A member that is held for silent is told so for as long as it lasts
    Given a node with the settings heartbeat 500 ms, silent after 1500 ms and gone after 30000 ms
    When it experiences heartbeat 3, wait 4000
    Then its 30th heartbeat to the member still tells it

  Scenario Outline: A restarted member replaces its earlier process
    Given a node with the settings heartbeat 500 ms, silent after 1500 ms and gone after 30000 ms
    When it experiences <events>
    Then it believes that the member is <state>
    And it knows process <process> of the member

    Examples: each row names the failure it guards against
      | events                                         | state | process | failure                                          |
      | heartbeat 5, process 2 heartbeat 1             | alive | 2       | a restarted member counts its heartbeats anew    |
      | heartbeat 5, process 2 heartbeat 1, heartbeat 6 | alive | 2      | a late heartbeat brings the earlier process back |
      | process 2 heartbeat 1, heartbeat 6             | alive | 2       | a process that was never heard replaces a later one |
      | process 2 heartbeat 1, wait 2500, heartbeat 1  | alive | 1       | a clock that was set back shuts a process out    |
      | heartbeat 5, process 2 reply                   | alive | 2       | a reply of the new process is taken for the old  |
      | heartbeat 5, process 2 reply, wait 1000, process 2 heartbeat 1, wait 1500 | alive | 2 | the new process must first count up to the old |

  Scenario Outline: News of members that a node does not hear itself
    Given a node among 40 members that does not watch the member
    When it experiences <events>
    Then it believes that the member is <state>

    Examples: each row names the failure it guards against
      | events                                   | state  | failure                                              |
      | news silent 1                            | silent | a stopped member is used by all who do not watch it  |
      | news silent 5, news alive 5              | silent | old news of life overrides newer silence             |
      | news silent 5, news alive 6              | alive  | a member that answered again stays silent            |
      | news alive 6, news silent 5              | alive  | news that arrives late overrides newer news          |
      | heartbeat 4, news silent 4               | alive  | another node's broken link outweighs a heartbeat     |
      | news left 1                              | gone   | a planned stop is noticed only by the watchers       |
      | news left 1, news alive 9                | gone   | news of a stopped process brings it back             |
      | news alive 3, process 2 news alive 1     | alive  | a restarted member is not known to those far away    |

  Scenario: A node that is wrongly reported silent announces itself
    Given a node with the settings heartbeat 500 ms, silent after 1500 ms and gone after 30000 ms
    When it hears news that it is silent itself
    Then its next heartbeat carries news of itself with a higher sequence

  Scenario: A cut-off node spreads no news about the others
    Given a node among 40 members that does not watch the member
    When it experiences wait 20000
    Then it says that it is cut off
    And its next heartbeat reports nobody as silent

  Scenario Outline: Being cut off is told apart from being alone
    Given a node with the settings heartbeat 500 ms, silent after 1500 ms and gone after 30000 ms
    When it experiences <events>
    Then it says that it is <answer>

    Examples: each row names the failure it guards against
      | events                              | answer      | failure                                            |
      | wait 5000                           | not cut off | the only entry VM refuses to work                  |
      | VM list live, wait 1000             | not cut off | a process that just started reports a fault        |
      | VM list live, wait 5000             | cut off     | a router behind a partition looks healthy          |
      | VM list live, wait 5000, heartbeat 1 | not cut off | a healed partition is not noticed                 |
      | heartbeat 1, wait 40000             | not cut off | members that are gone count as unreachable         |

  Scenario: Each member is watched by as many nodes as there are rings, at every size
    Then every member has the same number of watchers, and heartbeats are bounded, at any size
