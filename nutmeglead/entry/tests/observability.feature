Feature: Logs and metrics tell what a node did, without slowing it

  Scenario: A reader that does not read loses lines and nothing waits
    # Guards against a process that stops serving because nobody reads its log.
    Given a log pipe that nobody reads
    When 5000 lines are logged
    Then all calls have returned and lines were dropped
    And after the pipe is read, the next line tells how many

  Scenario: Requests above the rate are counted instead of logged
    # Guards against logs that cost more than the requests under overload.
    Given a request log on a clock that stands still
    When 500 requests fail and 300 are answered
    Then at most 51 failures and 26 answers are logged
    And the counters say 500 and 300
    And the next line of each kind tells what was not logged

  Scenario: A scrape shows requests, ranges and the store
    # Guards against metrics whose names or values are not those of the parts.
    Given a settled cluster with one node that is scraped
    Then the metrics have the lines
      | line                                                     |
      | nutmeglead_controller_acting{service="stock"} 1.0        |
      | nutmeglead_ranges{service="stock"} 6.0                   |
      | nutmeglead_unserved_keys{service="stock"} 0.0            |
      | nutmeglead_manifest_version 1.0                          |
      | nutmeglead_peers_alive 5.0                               |
      | nutmeglead_servers{service="stock"} 6.0                  |
      | nutmeglead_store_failures_total 0.0                      |
