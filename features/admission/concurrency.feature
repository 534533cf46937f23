Feature: An upstream's concurrency limit follows the time between tokens

  Background:
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 16    |

  Scenario: The limit decreases when the time between tokens exceeds the target
    When 4 requests with a target of 0.03 seconds report 0.04 seconds between tokens
    Then 12 requests can run at once

  Scenario: The limit is at most halved at a time and never falls below one
    When 4 requests with a target of 0.03 seconds report 0.3 seconds between tokens
    Then 8 requests can run at once
    When 40 requests with a target of 0.03 seconds report 0.3 seconds between tokens
    Then 1 requests can run at once

  Scenario: The limit grows back slowly up to the upstream's slots
    When 4 requests with a target of 0.03 seconds report 0.04 seconds between tokens
    And 4 requests with a target of 0.03 seconds report 0.02 seconds between tokens
    Then 13 requests can run at once
    When 40 requests with a target of 0.03 seconds report 0.02 seconds between tokens
    Then 16 requests can run at once

  Scenario: The tightest recent target determines the limit
    When 4 requests with a target of 0.03 seconds report 0.02 seconds between tokens
    And 4 requests with a target of 0.2 seconds report 0.06 seconds between tokens
    Then fewer than 16 requests can run at once
    When 70 seconds pass
    And 40 requests with a target of 0.2 seconds report 0.06 seconds between tokens
    Then 16 requests can run at once

  Scenario: A request that ran mostly before the last change of the limit is ignored
    When 8 requests that run together for 10 seconds report 0.04 seconds between tokens
    Then 12 requests can run at once
