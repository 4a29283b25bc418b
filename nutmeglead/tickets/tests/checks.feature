Feature: A ticket with faults is refused, and each fault names the path of its field

  Scenario Outline: A ticket with a wrong field is refused with the path of the field
    Given the first ticket of brunner
    When the ticket's <change>
    Then the ticket is refused with only the fault "<fault>"

    Examples: each row names the failure it guards against
      | change                                                                                                                                                      | fault                                                                                             | failure                                                      |
      | number is set to 7                                                                                                                                          | number: expected no number before the ticket is filed, got 7                                      | an operator sets the number of a ticket                      |
      | filing_id is set to "a/b"                                                                                                                                   | filing_id: expected an id of the form *, got "a/b"                                                | a slash splits the row key                                   |
      | filing_id is set to ""                                                                                                                                      | filing_id: expected an id of the form *, got ""                                                   | several tickets are filed under the empty id                 |
      | base_number is set to -1                                                                                                                                    | base_number: expected the number of a ticket, or 0, got -1                                        | ticket 0 is read                                             |
      | filed_by is set to ""                                                                                                                                       | filed_by: expected the operator's name, got ""                                                    | the filed ticket does not say who filed it                   |
      | servers[0].state is set to "gone"                                                                                                                           | servers[0].state: expected one of "present", "leaving", "removed", got "gone"                     | an unknown state is stored                                   |
      | servers[0].service_name is set to "catalogo"                                                                                                                | servers[0].service_name: expected one of lagerblick, schnittauftrag, konturablage, got "catalogo" | a server of another user is added                            |
      | servers[0].server_id is set to "lb/01"                                                                                                                      | servers[0].server_id: expected a name of the form *, got "lb/01"                                  | a slash splits the row key                                   |
      | servers[0].failure_domain is set to "keller"                                                                                                                | servers[0].failure_domain: expected one of halle-a, halle-b, buero, got "keller"                  | renewers of the server cannot be spread over failure domains |
      | servers[0].address is removed                                                                                                                               | servers[0].address: expected an object, got no such field                                         | a server that no entry process can reach gets keys           |
      | servers[0].address.ip is set to "halle"                                                                                                                     | servers[0].address.ip: expected an IP address, got "halle"                                        | a name is stored where an address is needed                  |
      | servers[0].address.port is set to 0                                                                                                                         | servers[0].address.port: expected a whole number from 1 to 65 535, got 0                          | a port is stored that no server can listen on                |
      | servers[1].address is set to {"ip": "10.20.1.100", "port": 9000}                                                                                            | servers[1].address: expected an address other than that of servers[0], got 10.20.1.100:9000       | one process under two server ids gets two holds on its keys  |
      | servers[1].server_id is set to "lb-01"                                                                                                                      | servers[1]: expected an item that does not overlap servers[0], got lagerblick/server/lb-01        | the result depends on the order of the items                 |
      | claims is set to [{"service_name": "lagerblick", "key": "k"}, {"service_name": "lagerblick", "key": "k", "server_id": "lb-01"}]                             | claims[1]: expected an item that does not overlap claims[0], got lagerblick/keys/50131-50131      | the result depends on the order of the items                 |
      | claims is set to [{"service_name": "lagerblick", "first_number": 0, "last_number": 5}, {"service_name": "lagerblick", "first_number": 5, "last_number": 6}] | claims[1]: expected an item that does not overlap claims[0], got lagerblick/keys/5-6              | a key gets two owners                                        |
      | claims is set to [{"service_name": "lagerblick", "first_number": 5, "last_number": 4}]                                                                      | claims[0].last_number: expected a key number from first_number (5) to 65535, got 4                | an inverted range claims nothing                             |
      | claims is set to [{"service_name": "lagerblick", "first_number": 0, "last_number": 65536}]                                                                  | claims[0].last_number: expected a key number from first_number (0) to 65535, got 65536            | a number that does not exist is claimed                      |
      | claims is set to [{"service_name": "lagerblick", "first_number": -1, "last_number": 3}]                                                                     | claims[0].first_number: expected a key number from 0 to 65535, got -1                             | a number that does not exist is claimed                      |
      | claims is set to [{"service_name": "lagerblick", "first_number": 3}]                                                                                        | claims[0]: expected either key, or first_number with last_number, got first_number                | a range without its end is stored                            |
      | claims is set to [{"service_name": "lagerblick", "key": "k", "first_number": 3}]                                                                            | claims[0]: expected either key, or first_number with last_number, got key and first_number        | one of the two forms of a claim is ignored                   |
      | claims is set to [{"service_name": "lagerblick"}]                                                                                                           | claims[0]: expected either key, or first_number with last_number, got none of them                | an empty claim is stored                                     |
      | claims is set to [{"service_name": "lagerblick", "key": ""}]                                                                                                | claims[0].key: expected from 1 to 512 bytes, got 0 bytes                                          | an empty key is claimed                                      |
      | claims is set to [{"service_name": "catalogo", "key": "k"}]                                                                                                 | claims[0].service_name: expected one of lagerblick, schnittauftrag, konturablage, got "catalogo"  | a claim of another user is stored                            |

  Scenario: A removed server needs no address
    Given the first ticket of brunner
    When the ticket's servers is set to [{"service_name": "lagerblick", "server_id": "lb-01", "state": "removed"}]
    And the ticket's claims is removed
    Then the ticket is accepted

  Scenario Outline: A ticket has from 1 to 90 items
    Given a ticket with <count> claims
    Then the ticket is <verdict>

    Examples: each row names the failure it guards against
      | count | verdict                                                                                     | failure                                                   |
      | 0     | refused with only the fault "(top level): expected from 1 to 90 servers and claims, got 0"  | a ticket without items hides the head from the item rows  |
      | 90    | accepted                                                                                    | a permitted ticket is refused                             |
      | 91    | refused with only the fault "(top level): expected from 1 to 90 servers and claims, got 91" | a ticket needs more entries than one transaction may have |
