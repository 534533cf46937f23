Feature: An upstream runs what it holds within the time between tokens

  Background:
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 16    |

  Scenario: The limit falls when tokens come too slowly
    When 4 requests with a target of 0.03 seconds see 0.04 seconds between tokens
    Then 12 requests run at once

  Scenario: The limit is cut by no more than half at a time and never below one
    When 4 requests with a target of 0.03 seconds see 0.3 seconds between tokens
    Then 8 requests run at once
    When 40 requests with a target of 0.03 seconds see 0.3 seconds between tokens
    Then 1 requests run at once

  Scenario: The limit grows back slowly up to the upstream's slots
    When 4 requests with a target of 0.03 seconds see 0.04 seconds between tokens
    And 4 requests with a target of 0.03 seconds see 0.02 seconds between tokens
    Then 13 requests run at once
    When 40 requests with a target of 0.03 seconds see 0.02 seconds between tokens
    Then 16 requests run at once

  Scenario: The tightest target seen of late counts
    When 4 requests with a target of 0.03 seconds see 0.02 seconds between tokens
    And 4 requests with a target of 0.2 seconds see 0.06 seconds between tokens
    Then fewer than 16 requests run at once
    When 70 seconds pass
    And 40 requests with a target of 0.2 seconds see 0.06 seconds between tokens
    Then 16 requests run at once

  Scenario: What ran before the last change does not count again
    When 8 requests that ran together for 10 seconds see 0.04 seconds between tokens
    Then 12 requests run at once
