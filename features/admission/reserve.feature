Feature: Lower tiers leave room for the upper ones

  Scenario: Some slots stay free before any urgent request was seen
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 20    |
    When 30 drafts arrive
    Then 18 requests are granted
    When requests arrive
      | id    | tier |
      | query | 0    |
    Then "query" is granted

  Scenario: Nothing is reserved where no urgent class uses the group
    Given a pool for tiers "3" with upstreams
      | name | models | slots |
      | e1   | m      | 20    |
    When 30 drafts arrive
    Then 20 requests are granted

  Scenario: A single slot serves every tier
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 1     |
    When requests arrive
      | id    | tier |
      | draft | 3    |
    Then "draft" is granted

  Scenario: The reserve is nearly as large within seconds of a start
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 20    |
    When 8 requests of tier 0 arrive at 2 a second and run for 2 seconds each
    And 30 drafts arrive
    Then exactly 13 drafts run

  Scenario: The reserve follows the urgent load
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 20    |
    When 120 requests of tier 0 arrive at 2 a second and run for 2 seconds each
    And 30 drafts arrive
    Then exactly 12 drafts run
    When 600 seconds pass without arrivals
    And 30 drafts arrive
    Then exactly 19 drafts run

  Scenario: A middle tier is protected from the lowest
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 20    |
    When 120 requests of tier 2 arrive at 2 a second and run for 2 seconds each
    And 30 drafts arrive
    Then exactly 12 drafts run

  Scenario: What the upper tiers run counts towards their need
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 20    |
    When 120 requests of tier 0 arrive at 2 a second and run for 2 seconds each
    And 4 requests of tier 0 are running
    And 30 drafts arrive
    Then exactly 10 drafts run
    And 6 slots are free

  Scenario: Drafts fill no upstream of several
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 8     |
      | e2   | m      | 8     |
      | e3   | m      | 8     |
    When 120 requests of tier 0 arrive at 2 a second and run for 2 seconds each
    And 30 drafts arrive
    Then exactly 16 drafts run
    And every upstream has a free slot

  Scenario: The reserve holds for the power cap too
    Given a pool and 500 watts with upstreams
      | name | models | slots | watts_per_slot |
      | e1   | m      | 8     | 100            |
    When 30 drafts arrive
    Then 4 requests are granted
    When requests arrive
      | id    | tier |
      | query | 0    |
    Then "query" is granted

  Scenario: Nothing lower takes the power that an urgent request waits for
    Given a pool and 150 watts with upstreams
      | name | models | slots | watts_per_slot |
      | e1   | m,n    | 4     | 100            |
      | e2   | n      | 4     | 10             |
    When requests arrive
      | id | tier | target |
      | a  | 0    | m      |
      | b  | 0    | m      |
    And they are granted
    And requests arrive
      | id    | tier | target |
      | draft | 3    | n      |
    Then "a" is granted and "b" waits
    And "draft" is neither granted nor refused
    When "a" is released
    Then "b" is granted and "draft" waits
    When "b" is released
    Then "draft" is granted

  Scenario: A class's oldest request runs within its bound while urgent work fills all slots
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 4     |
    When requests arrive
      | id     | tier | max_wait_s | class | deadline_s |
      | draft1 | 3    | 10         | bulk  | 600        |
      | draft2 | 3    | 10         | bulk  | 600        |
    And 200 requests of tier 0 keep all slots busy for 25 seconds
    Then "draft1" was granted within 10 seconds
    And "draft2" was granted within 20 seconds

  Scenario: The floor is small
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 8     |
    When requests arrive
      | id     | tier | max_wait_s | class | deadline_s |
      | draft1 | 3    | 10         | bulk  | 600        |
      | draft2 | 2    | 12         | batch | 600        |
    And 300 requests of tier 0 keep all slots busy for 20 seconds but drafts run on
    Then "draft1" is granted and "draft2" waits
    When "draft1" is released
    Then "draft2" is granted

  Scenario: What the reserve holds back is not passed by a lower tier
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 20    |
    When 120 requests of tier 0 arrive at 2 a second and run for 2 seconds each
    And 12 requests of tier 1 are running
    And requests arrive
      | id     | tier |
      | middle | 1    |
      | draft  | 2    |
    Then "middle" is neither granted nor refused
    And "draft" is neither granted nor refused

  Scenario: A request that needs more power is not overtaken for ever by cheaper ones
    Given a pool and 150 watts with upstreams
      | name | models | slots | watts_per_slot |
      | e1   | m      | 4     | 100            |
      | e2   | n      | 4     | 40             |
    When requests arrive
      | id | tier | target | team |
      | a  | 0    | m      | one  |
      | b  | 0    | m      | two  |
    And they are granted
    And requests arrive
      | id | tier | target | team   |
      | c  | 0    | n      | third  |
      | d  | 0    | n      | fourth |
    Then "a" is granted and "c" waits
    When "a" is released
    Then "b" is granted and "d" waits
