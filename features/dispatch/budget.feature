Feature: Retry budget

  Scenario: An instance without successes may retry up to the minimum
    Given a retry budget of 0.1 for each success and a minimum of 2
    When 5 retries are requested at 100.0 s
    Then 2 retries were allowed

  Scenario: Successes allow further retries
    Given a retry budget of 0.1 for each success and a minimum of 2
    When 100 successes are recorded at 100.0 s
    And 50 retries are requested at 101.0 s
    Then 12 retries were allowed

  Scenario: Spent retries become available again after the window
    Given a retry budget of 0.0 for each success and a minimum of 2
    When 5 retries are requested at 100.0 s
    And 5 retries are requested at 109.0 s
    And 5 retries are requested at 110.5 s
    Then 4 retries were allowed

  Scenario: Successes before the window allow no retries
    Given a retry budget of 0.1 for each success and a minimum of 0
    When 100 successes are recorded at 100.0 s
    And 50 retries are requested at 111.0 s
    Then 0 retries were allowed

  Scenario: Retries stay within the budget in every window
    Then random successes and retries never exceed the budget in any window
