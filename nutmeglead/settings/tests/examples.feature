Feature: The example settings and tickets are valid and have the sizes that the design page states

  Scenario Outline: The settings of each failure domain are valid and differ only in the node
    Given the example directory of <user>
    Then it has settings for the failure domains <domains>
    And the settings differ only in the node

    Examples: each row names the failure it guards against
      | user     | domains                                     | failure                                       |
      | brunner  | halle-a, halle-b, buero                     | a failure domain starts without a valid file  |
      | cubo     | recife-a, recife-b, fortaleza-a, salvador-a | entry VMs disagree about a service's settings |
      | loopback | domain-a, domain-b, domain-c                | a run by hand starts with an invalid file     |

  Scenario: The processes of a run by hand on loopback share no port
    # Guards against two processes or servers on one IP address of which the second cannot bind.
    Given the example directory of loopback
    Then no two processes or servers listen on the same port

  Scenario Outline: Each service has the size and the idempotence that the design page states
    Given the example directory of <user>
    Then <service> has <slots> slots and <connections> connections, idempotent <idempotent>
    And the first ticket adds <instances> servers of <service>, spread over all failure domains

    Examples: design page, section 1
      | user    | service        | instances | slots | connections | idempotent | failure                            |
      | brunner | lagerblick     | 24        | 4     | 130         | true       | lookups are never hedged           |
      | brunner | schnittauftrag | 9         | 4     | 130         | false      | a cutting order is sent twice      |
      | brunner | konturablage   | 6         | 4     | 130         | true       | a pattern file is not sent again   |
      | cubo    | catalogo       | 22        | 2     | 130         | true       | catalogue lookups are never hedged |
      | cubo    | pedidos        | 9         | 2     | 130         | false      | a payment is sent twice            |
      | cubo    | guias          | 8         | 2     | 130         | true       | a guide is not sent again          |

  Scenario Outline: Orders have the highest priority, and only the service of files has large answers
    Given the example directory of <user>
    Then <orders> has a higher priority than every other service
    And <files> has large answers and no other service has

    Examples: each row names the failure it guards against
      | user    | orders         | files        | failure                                          |
      | brunner | schnittauftrag | konturablage | a lookup takes the slot that an order waits for  |
      | cubo    | pedidos        | guias        | a guide crosses failure domains for nothing      |
