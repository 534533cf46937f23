Feature: Lower tiers leave slots free for upper tiers

  A draft is a request of the least urgent tier.

  Scenario: Some slots stay free before any urgent request has arrived
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 20    |
    When 30 drafts arrive
    Then 18 requests are granted
    When requests arrive
      | id    | tier |
      | query | 0    |
    Then "query" is granted

  Scenario: No slots are reserved if no urgent class uses the group
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

  Scenario: The reserve reaches nearly its full size within seconds of the start
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 20    |
    When 8 requests of tier 0 arrive at 2 per second and run for 2 seconds each
    And 30 drafts arrive
    Then exactly 13 drafts run

  Scenario: The reserve follows the urgent load
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 20    |
    When 120 requests of tier 0 arrive at 2 per second and run for 2 seconds each
    And 30 drafts arrive
    Then exactly 12 drafts run
    When 600 seconds pass without arrivals
    And 30 drafts arrive
    Then exactly 19 drafts run

  Scenario: A middle tier is protected from the lowest tier
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 20    |
    When 120 requests of tier 2 arrive at 2 per second and run for 2 seconds each
    And 30 drafts arrive
    Then exactly 12 drafts run

  Scenario: Running requests of upper tiers count towards the reserve
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 20    |
    When 120 requests of tier 0 arrive at 2 per second and run for 2 seconds each
    And 4 requests of tier 0 are running
    And 30 drafts arrive
    Then exactly 10 drafts run
    And 6 slots are free

  Scenario: Drafts do not fill any one of several upstreams
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 8     |
      | e2   | m      | 8     |
      | e3   | m      | 8     |
    When 120 requests of tier 0 arrive at 2 per second and run for 2 seconds each
    And 30 drafts arrive
    Then exactly 16 drafts run
    And every upstream has a free slot

  Scenario: The reserve also applies to the power cap
    Given a pool with a power cap of 500 watts and upstreams
      | name | models | slots | watts_per_slot |
      | e1   | m      | 8     | 100            |
    When 30 drafts arrive
    Then 4 requests are granted
    When requests arrive
      | id    | tier |
      | query | 0    |
    Then "query" is granted

  Scenario: No request of a lower tier takes the power that an urgent request waits for
    Given a pool with a power cap of 150 watts and upstreams
      | name | models | slots | watts_per_slot |
      | e1   | m,n    | 4     | 100            |
      | e2   | n      | 4     | 10             |
    When requests arrive
      | id | tier | target |
      | a  | 0    | m      |
      | b  | 0    | m      |
    And the pool grants free slots
    And requests arrive
      | id    | tier | target |
      | draft | 3    | n      |
    Then "a" is granted and "b" waits
    And "draft" is neither granted nor refused
    When "a" is released
    Then "b" is granted and "draft" waits
    When "b" is released
    Then "draft" is granted

  Scenario: A class's oldest request starts within its maximum wait while urgent requests fill all slots
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

  Scenario: The max-wait guarantee uses only a small part of the slots
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 8     |
    When requests arrive
      | id     | tier | max_wait_s | class | deadline_s |
      | draft1 | 3    | 10         | bulk  | 600        |
      | draft2 | 2    | 12         | batch | 600        |
    And 300 requests of tier 0 keep all slots busy for 20 seconds while drafts keep running
    Then "draft1" is granted and "draft2" waits
    When "draft1" is released
    Then "draft2" is granted

  Scenario: A request held back by the reserve is not overtaken by a lower tier
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 20    |
    When 120 requests of tier 0 arrive at 2 per second and run for 2 seconds each
    And 12 requests of tier 1 are running
    And requests arrive
      | id     | tier |
      | middle | 1    |
      | draft  | 2    |
    Then "middle" is neither granted nor refused
    And "draft" is neither granted nor refused

  Scenario: A request that needs more power is not overtaken indefinitely by requests that need less
    Given a pool with a power cap of 150 watts and upstreams
      | name | models | slots | watts_per_slot |
      | e1   | m      | 4     | 100            |
      | e2   | n      | 4     | 40             |
    When requests arrive
      | id | tier | target | team |
      | a  | 0    | m      | one  |
      | b  | 0    | m      | two  |
    And the pool grants free slots
    And requests arrive
      | id | tier | target | team   |
      | c  | 0    | n      | third  |
      | d  | 0    | n      | fourth |
    Then "a" is granted and "c" waits
    When "a" is released
    Then "b" is granted and "d" waits
