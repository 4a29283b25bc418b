Feature: No calm node sends requests to a server that is leaving beyond the drain bound

  Nine entry VMs, three in each failure domain, ten servers and the store run in memory on virtual time. The first two
  nodes of a domain follow the store, and the third one takes copies from them. A server leaves, and each node that the
  trouble does not disturb is asked for a server for requests that the leaving one would get.

  The drain bound is 2000 ms. A request that is assigned may need another 300 ms for a new connection.

  Scenario Outline: A server of <service> leaves while <trouble>
    Given a settled cluster of nine nodes with seed <seed>
    When a server of <service> leaves while <trouble>
    Then no calm node assigns a request to it later than 1700 ms after its announcement

    Examples: each row names the failure it guards against
      | seed | service | trouble                                    | failure                                               |
      | 1    | stock   | nothing else happens                       | a leaving owner gets requests until its keys move     |
      | 2    | orders  | nothing else happens                       | a node does not hear of an announcement               |
      | 3    | stock   | its entry goes without an announcement     | a server without an entry still gets requests         |
      | 4    | orders  | its entry goes without an announcement     | a server without an entry still gets requests         |
      | 15   | stock   | only its answers say so                    | the acting node does not hear of what witnesses hear  |
      | 16   | stock   | only its answers say so and the acting node is killed | the next acting node does not hear of it   |
      | 17   | stock   | a node starts again while the store is silent | a node that starts uses what it can get, also a server that has left |
      | 18   | orders  | a node starts again while the store is silent | a node that starts uses what it can get, also a server that has left |
      | 19   | orders  | a hub starts again while the store is silent  | a hub that starts takes copies of what has left                      |
      | 5    | stock   | the acting node is killed                  | a leaving owner gets requests until another node acts |
      | 6    | stock   | the hubs of a domain are killed            | a node whose hubs are gone hears of nothing           |
      | 7    | orders  | the hubs of a domain fall silent           | a node whose hubs are gone hears of nothing           |
      | 8    | orders  | the hubs of a domain fall silent just after | a node waits for a copy from a silent hub             |
      | 11   | orders  | the store turned its hubs away just before | an own refusal is taken for an outage of the store    |
      | 12   | stock   | answers are lost and another entry has just changed | the use of an owner is counted from a late copy |
      | 13   | stock   | answers are lost and the hubs of a domain are killed | the use of an owner is counted from a late copy |
      | 14   | orders  | the store turned its hubs away just before and answers are lost | an own refusal is taken for an outage |
      | 20   | orders  | the store was silent for 1 s after a change | the calls of all hubs end with the change, and the next ones are swallowed |
      | 21   | stock   | the store was silent for 1 s after a change | the same, for the owner of a key              |
      | 22   | orders  | the store was silent for 8 s after a change | the same, for a silence of many calls         |
      | 23   | orders  | the store was silent after a change and the checking hubs are killed | hubs that do not check their calls take over |
