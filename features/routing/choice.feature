Feature: Choice among upstreams

  Scenario: The least loaded of equally fast upstreams is chosen
    Given candidates
      | name | running | capacity | latency_s |
      | e1   | 4       | 8        | 0.1       |
      | e2   | 3       | 8        | 0.1       |
      | e3   | 5       | 16       | 0.1       |
    Then a request goes to "e3"

  Scenario: A slowed upstream gets work only when the others are busier by its factor
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

  Scenario: What unknown holders run counts as load
    Given candidates
      | name | running | capacity | latency_s | others |
      | e1   | 0       | 8        | 0.1       | 4      |
      | e2   | 2       | 8        | 0.1       | 0      |
    Then a request goes to "e2"

  Scenario: An upstream that the request failed on is the last resort
    Given candidates
      | name | running | capacity | latency_s |
      | e1   | 0       | 8        | 0.1       |
      | e2   | 6       | 8        | 0.1       |
    Then a request that failed on "e1" goes to "e2"
    And a request that failed on "e1 e2" goes to "e1"

  Scenario: Equal upstreams share the requests
    Given candidates
      | name | running | capacity | latency_s |
      | e1   | 0       | 8        | 0.1       |
      | e2   | 0       | 8        | 0.1       |
    Then 100 requests go to each at least 30 times

  Scenario: A prefix goes where it was when that saves more than the load costs
    Given candidates
      | name | running | capacity | latency_s |
      | e1   | 3       | 8        | 0.1       |
      | e2   | 2       | 8        | 0.1       |
    And the prefix "p" was on "e1"
    And first tokens take 0.05 seconds with the prefix and 0.15 seconds without
    Then a request with prefix "p" goes to "e1"
    And a request with prefix "other" goes to "e2"

  Scenario: A prefix that doesn't pay changes nothing
    Given candidates
      | name | running | capacity | latency_s |
      | e1   | 3       | 8        | 0.1       |
      | e2   | 2       | 8        | 0.1       |
    And the prefix "p" was on "e1"
    And first tokens take 0.15 seconds with the prefix and 0.15 seconds without
    Then a request with prefix "p" goes to "e2"

  Scenario: A prefix not known to pay decides among equals only
    Given candidates
      | name | running | capacity | latency_s |
      | e1   | 2       | 8        | 0.1       |
      | e2   | 2       | 8        | 0.1       |
    And the prefix "p" was on "e1"
    Then a request with prefix "p" goes to "e1"
    Given candidates
      | name | running | capacity | latency_s |
      | e1   | 3       | 8        | 0.1       |
      | e2   | 2       | 8        | 0.1       |
    Then a request with prefix "p" goes to "e2"

  Scenario: A prefix never overloads its upstream
    Given candidates
      | name | running | capacity | latency_s |
      | e1   | 7       | 8        | 0.1       |
      | e2   | 2       | 8        | 0.1       |
    And the prefix "p" was on "e1"
    And first tokens take 0.05 seconds with the prefix and 1.5 seconds without
    Then a request with prefix "p" goes to "e2"

  Scenario: Only the most recent prefixes are kept
    Given 5000 prefixes went to "e1"
    Then 4096 prefixes are kept
