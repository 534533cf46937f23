Feature: The pool chooses the upstream with the earliest expected first token

  Scenario: A slow upstream gets fewer requests
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 8     |
      | e2   | m      | 8     |
    And "e1" takes 0.4 seconds to the first token and "e2" takes 0.1 seconds
    When 8 requests of tier 0 are running
    Then "e2" runs all of them

  Scenario: A request goes to the upstream that last served the same prefix
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 8     |
      | e2   | m      | 8     |
    When 20 requests with the same prefix run one by one
    Then one upstream ran all of them
