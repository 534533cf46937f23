Feature: The power cap limits the power that running requests take

  Scenario: Each running request takes the power per slot of its upstream
    Given a pool with a power cap of 250 watts and upstreams
      | name | models | slots | watts_per_slot |
      | e1   | m      | 1     | 150            |
      | e2   | m      | 4     | 50             |
    When requests arrive
      | id | tier |
      | a  | 0    |
      | b  | 0    |
      | c  | 0    |
      | d  | 0    |
    Then 3 requests are granted
    And 250 watts are in use
    When the request on "e2" is released
    Then 200 watts are in use before "d" is granted on "e2"

  Scenario: A lowered cap stops new grants until enough requests have ended
    Given a pool with a power cap of 400 watts and upstreams
      | name | models | slots | watts_per_slot |
      | e1   | m      | 4     | 100            |
    When requests arrive
      | id | tier |
      | a  | 0    |
      | b  | 0    |
      | c  | 0    |
      | d  | 0    |
    And the pool grants free slots
    And the power cap becomes 200 watts
    And requests arrive
      | id | tier |
      | e  | 0    |
    And "a" is released
    And "b" is released
    Then "c" is granted and "e" waits
    When "c" is released
    Then "e" is granted

  Scenario: Running requests count with the power per slot that the records state now
    Given a pool with a power cap of 400 watts and upstreams
      | name | models | slots | watts_per_slot |
      | e1   | m      | 4     | 100            |
    When requests arrive
      | id | tier |
      | a  | 0    |
      | b  | 0    |
    And the pool grants free slots
    And every upstream takes 200 watts per slot
    Then 400 watts are in use
    When "a" is released
    And "b" is released
    Then 0 watts are in use

  Scenario: Requests that take no power start while the cap is reached
    Given a pool with a power cap of 100 watts and upstreams
      | name | models | slots | watts_per_slot |
      | e1   | m      | 4     | 100            |
      | e2   | n      | 4     | 0              |
    When requests arrive
      | id | tier | target |
      | a  | 0    | m      |
      | b  | 0    | m      |
      | c  | 1    | n      |
    Then "a" is granted and "b" waits
    And "c" is granted
