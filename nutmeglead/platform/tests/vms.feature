Feature: Every VM list adapter keeps the contract of the VmList port

  Scenario Outline: The list is read with all fields, or its outage is reported
    Given the <adapter> VM list with <vms>
    When the VM list is read
    Then the list gives <answer>

    Examples: each row names the failure it guards against
      | adapter | vms                            | answer                         | failure                                  |
      | memory  | entry live, backend gone       | entry live, backend gone       | a VM or its state is lost on the way     |
      | memory  | backend leaving                | backend leaving                | a leaving VM passes as live or gone      |
      | memory  | no VM                          | no VM                          | an empty list is taken for an outage     |
      | memory  | an outage                      | VmListUnavailable              | an outage passes as an empty list        |
      | http    | entry live, backend gone       | entry live, backend gone       | a VM or its state is lost on the way     |
      | http    | backend leaving                | backend leaving                | a leaving VM passes as live or gone      |
      | http    | no VM                          | no VM                          | an empty list is taken for an outage     |
      | http    | an outage                      | VmListUnavailable              | an outage passes as an empty list        |

  Scenario Outline: Another service on the address does not pass as a VM list
    Given a VM list address that answers <given>
    When the VM list is read
    Then the list gives VmListUnavailable

    Examples: each row names the failure it guards against
      | given                    | failure                                            |
      | 404                      | a wrong service passes as a list without VMs       |
      | 204                      | an answer without a list passes as an empty list   |
      | 200 hello                | the answer of a wrong service ends in an error     |
      | 200 {}                   | a wrong service passes as a list without VMs       |
      | 200 {"vms": 1}           | a wrong service passes as a list without VMs       |
      | 200 7                    | the answer of a wrong service ends in an error     |
      | 200 [{"vm_id": "lb-01"}] | half an entry passes as a VM                       |
      | 500                      | a failing service passes as a list without VMs     |
      | closed                   | a cut connection passes as a list without VMs      |
      | refused                  | no connection passes as a list without VMs         |
