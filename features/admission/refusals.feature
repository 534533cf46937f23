Feature: Requests that can't be served in time are refused early, lowest tier first

  Background:
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 2     |
    And requests of every tier have held their slots for 2 seconds each

  Scenario: A request that would wait past its deadline is refused at once
    When 10 requests of tier 0 wait
    And requests arrive
      | id | tier | deadline_s |
      | a  | 0    | 5          |
      | b  | 0    | 30         |
    Then "a" is refused with "deadline-unreachable"
    And "b" is not refused
    And "a" is told to retry after 12 to 18 seconds

  Scenario: No request is refused for its predicted wait while a lower tier has waiting requests
    When 10 requests of tier 0 wait
    And requests arrive
      | id    | tier | deadline_s |
      | draft | 1    | 60         |
      | a     | 0    | 5          |
    Then "a" is not refused

  Scenario: A team with a short queue is not refused because of another team's long queue
    When 40 requests of tier 1 wait
    And requests arrive
      | id | tier | deadline_s | team  |
      | a  | 1    | 10         | other |
    Then "a" is not refused

  Scenario: The newest request of the lowest tier is refused once upper tiers delay it too long
    When requests arrive
      | id     | tier | deadline_s | class | max_wait_s |
      | draft1 | 2    | 20         | bulk  | 10         |
      | draft2 | 2    | 20         | bulk  | 10         |
      | draft3 | 2    | 20         | bulk  | 10         |
    And 60 requests of tier 0 wait
    Then "draft3" is refused with "deadline-unreachable"
    And "draft1" is not refused

  Scenario: Refused callers get different retry times, always the same for the same request
    When 10 requests of tier 0 wait
    And requests arrive
      | id | tier | deadline_s |
      | a  | 0    | 5          |
      | b  | 0    | 5          |
    Then "a" and "b" are told to retry after different times
    And "a" is told to retry after the same time again

  Scenario: The estimated wait grows with the queue
    Then the estimated wait of tier 0 is 0 seconds
    When 10 requests of tier 0 wait
    Then the estimated wait of tier 0 is 11 to 13 seconds
    And the estimated wait of tier 3 is more than that of tier 0

  Scenario: A slowdown of a few seconds does not empty a queue that drained fast before
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 8     |
    When 120 requests of tier 2 arrive at 2 per second and run for 2 seconds each
    And 8 requests of tier 0 are running
    And requests arrive
      | id     | tier | deadline_s | class | max_wait_s |
      | draft1 | 2    | 20         | bulk  | 100        |
      | draft2 | 2    | 20         | bulk  | 100        |
    And 250 requests of tier 0 wait
    Then "draft2" is not refused

  Scenario Outline: A request that is unlikely to end before its deadline is not started
    When requests run in all slots
    And requests arrive
      | id | tier   | deadline_s |
      | a  | <tier> | 10         |
      | b  | <tier> | 60         |
    And <wait> seconds later all slots become free
    Then "a" is <verdict>
    And "b" is not refused

    Examples:
      | tier | wait | verdict                             |
      | 3    | 7    | granted                             |
      | 3    | 8.5  | refused with "deadline-unreachable" |
      | 0    | 8.5  | refused with "deadline-unreachable" |

  Scenario: No request is refused as too late while a less urgent request waits
    When requests run in all slots
    And requests arrive
      | id    | tier | deadline_s |
      | a     | 0    | 10         |
      | draft | 3    | 60         |
    And 8.5 seconds later all slots become free
    Then "a" is granted
