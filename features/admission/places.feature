Feature: The pool sends a request where its first token comes soonest

  Scenario: A slowed upstream gets less work
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 8     |
      | e2   | m      | 8     |
    And "e1" takes 0.4 seconds to a first token and "e2" 0.1
    When 8 requests of tier 0 are running
    Then "e2" runs all of them

  Scenario: A repeated prefix goes back to its upstream
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 8     |
      | e2   | m      | 8     |
    When 20 requests with one prefix run one by one
    Then one upstream ran them all
