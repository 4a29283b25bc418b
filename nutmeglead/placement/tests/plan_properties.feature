Feature: Every plan keeps the planner's promises, whatever the state it starts from

  Scenario Outline: Generated requests
    When 600 generated requests are planned and applied
    Then <promise> for each of them

    Examples: each row names the failure it guards against
      | promise                                         | failure                                              |
      | every unit has one owner that may own it        | a unit is left without a live owner                  |
      | every move has a reason that holds              | units move without a reason, or for a wrong one      |
      | no unit moves twice                             | a unit is handed over twice for one plan             |
      | moves stay within their budgets                 | one round cuts off more units than the settings allow |
      | claims that can be met are met                  | the policy overrides a ticket                        |
      | pins of the policy stay within max_pins         | pins grow beyond their bound                         |
      | the next plan is empty if no budget was spent   | plans move units in circles                          |
      | a second call gives the same plan               | two controllers plan different moves                 |
