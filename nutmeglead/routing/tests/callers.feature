Feature: Callers that leave, stall or send bad requests take nothing from others

  Scenario Outline: A caller leaves at each step
    Given a router with one busy or moving server for <step>
    When the caller leaves while its request is <step>
    Then the server ran <runs> requests of that caller
    And the caller's backend connection is <connection>
    And no slot, queue place or held place stays taken

    Examples: each row names the failure it guards against
      | step                | runs | connection | failure                                                  |
      | sending a body      | 0    | none       | a cut body reaches the server as a whole order           |
      | streaming a body    | 0    | closed     | a cut upload is ended as if it were whole                |
      | held for a move     | 0    | none       | a request runs later for a caller that is gone           |
      | queued for a slot   | 0    | none       | the queue fills with requests of callers that are gone   |
      | connecting          | 0    | none       | the order is written after its caller has gone           |
      | waiting             | 1    | closed     | the server is not told, and its late answer is reused    |
      | receiving a file    | 1    | closed     | a half-read answer begins the next caller's answer       |

  Scenario Outline: A request that breaks the contract is refused before any server sees it
    Given a router with idle servers
    When a caller sends the raw request <request>
    Then the raw answer has status <status> and the outcome not-run
    And no server got a request

    Examples: each row names the failure it guards against
      | request              | status | failure                                                     |
      | unknown service      | 404    | a typing error looks like a lost server                     |
      | no key               | 400    | requests without a key go to a server of no key             |
      | empty key            | 400    | requests without a key go to a server of no key             |
      | bad percent encoding | 400    | two spellings of one key go to two owners                   |
      | bad deadline         | 400    | an unreadable deadline is taken for none                    |
      | two deadlines        | 400    | router and server work to different deadlines               |
      | no time left         | 503    | a request that is late already takes a slot                 |
      | long body            | 413    | a body fills the router's memory                            |
      | both lengths         | 400    | a second request is smuggled inside the first               |
      | header flood         | 431    | headers fill the router's memory                            |
      | tunnel               | 400    | a caller opens a tunnel through the router                  |

  Scenario: A caller cannot set the headers that fence requests
    Given a router with idle servers
    When a caller sends its own epoch 99 and a Connection header that names Host
    Then the server got epoch 1 and the whole body

  Scenario: A repeat after "unknown" reaches the owner with the caller's idempotency key
    Given a router whose first server resets after the request and whose key then moves
    When a caller sends an order with idempotency key "order-7" twice
    Then the first sending is told "504 unknown server-failed" and the second "200 whole"
    And both owners got the idempotency key "order-7"

  Scenario Outline: A slow caller is bounded in memory and time
    Given a router with idle servers
    When a caller <behaviour>
    Then the router reads at most 1 MiB ahead of the caller
    And after the stall limit the caller is told "<told>"
    And no slot, queue place or held place stays taken

    Examples: each row names the failure it guards against
      | behaviour                  | told                        | failure                                             |
      | does not read its file     | cut                         | one caller makes the router buffer a whole file     |
      | stops inside a small body  | 503 not-run deadline-passed | a caller that sends nothing holds a server's slot   |
      | stops inside an upload     | 504 unknown answer-late     | a caller that sends nothing holds a slot for ever   |

  Scenario: A chunked body longer than allowed is cut and reported as unknown
    Given a router with idle servers and bodies of at most 100000 bytes
    When a caller sends a chunked body of 300000 bytes
    Then the caller is answered "413 unknown body-too-large"
    And the server ran 0 requests of that caller

  Scenario Outline: A router that is told to stop finishes what has arrived
    Given a router with one busy or moving server for <step>
    When the router is told to stop while a request is <step>
    And the obstacle is removed
    Then the request gets its whole answer
    And a request that comes later is told "503 not-run router-stopping"

    Examples: each row names the failure it guards against
      | step              | failure                                              |
      | sending a body    | a planned stop cuts off an order that is being sent  |
      | streaming a body  | a planned stop cuts off an upload                    |
      | held for a move   | a planned stop drops requests that wait for a move   |
      | queued for a slot | a planned stop drops the queue                       |
      | connecting        | a planned stop drops a request without a connection  |
      | waiting           | a planned stop cuts off an order that is running     |
      | receiving a file  | a planned stop cuts off a file                       |
