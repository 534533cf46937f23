Feature: Choice among upstreams

  Scenario: The least loaded of equally fast upstreams is chosen
    Given candidates
      | name | running | capacity | latency_s |
      | e1   | 4       | 8        | 0.1       |
      | e2   | 3       | 8        | 0.1       |
      | e3   | 5       | 16       | 0.1       |
    Then a request goes to "e3"

  Scenario: A slow upstream is chosen only when the load of the others outweighs its latency
    Given candidates
      | name | running | capacity | latency_s |
      | slow | 0       | 8        | 0.3       |
      | e2   | 7       | 8        | 0.1       |
    Then a request goes to "e2"
    Given candidates
      | name | running | capacity | latency_s |
      | slow | 0       | 8        | 0.15      |
      | e2   | 7       | 8        | 0.1       |
    Then a request goes to "slow"

  Scenario: Requests of unknown holders count as load
    Given candidates
      | name | running | capacity | latency_s | others |
      | e1   | 0       | 8        | 0.1       | 4      |
      | e2   | 2       | 8        | 0.1       | 0      |
    Then a request goes to "e2"

  Scenario: An upstream on which the request failed is chosen only when there is no other
    Given candidates
      | name | running | capacity | latency_s |
      | e1   | 0       | 8        | 0.1       |
      | e2   | 6       | 8        | 0.1       |
    Then a request that failed on "e1" goes to "e2"
    And a request that failed on "e1 e2" goes to "e1"

  Scenario: Upstreams with equal load and latency share the requests
    Given candidates
      | name | running | capacity | latency_s |
      | e1   | 0       | 8        | 0.1       |
      | e2   | 0       | 8        | 0.1       |
    Then 100 requests go to each candidate at least 30 times

  Scenario: A prefix goes to its last upstream when that saves more time than the load costs
    Given candidates
      | name | running | capacity | latency_s |
      | e1   | 3       | 8        | 0.1       |
      | e2   | 2       | 8        | 0.1       |
    And the prefix "p" was last sent to "e1"
    And first tokens take 0.05 seconds with a prefix hit and 0.15 seconds without one
    Then a request with prefix "p" goes to "e1"
    And a request with prefix "other" goes to "e2"

  Scenario: A prefix that saves no time doesn't affect the choice
    Given candidates
      | name | running | capacity | latency_s |
      | e1   | 3       | 8        | 0.1       |
      | e2   | 2       | 8        | 0.1       |
    And the prefix "p" was last sent to "e1"
    And first tokens take 0.15 seconds with a prefix hit and 0.15 seconds without one
    Then a request with prefix "p" goes to "e2"

  Scenario: A prefix whose saving is unknown decides only between equal upstreams
    Given candidates
      | name | running | capacity | latency_s |
      | e1   | 2       | 8        | 0.1       |
      | e2   | 2       | 8        | 0.1       |
    And the prefix "p" was last sent to "e1"
    Then a request with prefix "p" goes to "e1"
    Given candidates
      | name | running | capacity | latency_s |
      | e1   | 3       | 8        | 0.1       |
      | e2   | 2       | 8        | 0.1       |
    Then a request with prefix "p" goes to "e2"

  Scenario: A prefix goes to another upstream when its last one has too much load
    Given candidates
      | name | running | capacity | latency_s |
      | e1   | 7       | 8        | 0.1       |
      | e2   | 2       | 8        | 0.1       |
    And the prefix "p" was last sent to "e1"
    And first tokens take 0.05 seconds with a prefix hit and 1.5 seconds without one
    Then a request with prefix "p" goes to "e2"

  Scenario: Only the most recent prefixes are kept
    Given 5000 prefixes were sent to "e1"
    Then 4096 prefixes are kept
