Feature: Real processes keep the promises while faults come in series and overlap

  `python -m nutmeglead.soak.run --first 1 --count 50` runs more seeds by hand. A seed that ever failed stays here, with
  a line on the cause.

  Scenario Outline: A seed
    When the soak runs seed <seed> for <fault_s> s with 3 entry processes
    Then it kept every promise

    Examples: each row names the failure it guards against
      | seed | fault_s | failure  |
      | 1    | 8       | none yet |
