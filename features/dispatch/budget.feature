Feature: Retry budget

  Scenario: A quiet instance may retry a few times
    Given a retry budget of 0.1 for each success and at least 2
    When 5 retries are asked for at 100.0 s
    Then 2 retries were allowed

  Scenario: Successes earn retries
    Given a retry budget of 0.1 for each success and at least 2
    When 100 successes come at 100.0 s
    And 50 retries are asked for at 101.0 s
    Then 12 retries were allowed

  Scenario: Spent retries come back after the window
    Given a retry budget of 0.0 for each success and at least 2
    When 5 retries are asked for at 100.0 s
    And 5 retries are asked for at 109.0 s
    And 5 retries are asked for at 110.5 s
    Then 4 retries were allowed

  Scenario: Old successes earn nothing
    Given a retry budget of 0.1 for each success and at least 0
    When 100 successes come at 100.0 s
    And 50 retries are asked for at 111.0 s
    Then 0 retries were allowed

  Scenario: Retries stay within the budget in every window
    Then random successes and retries never pass the budget in any window
