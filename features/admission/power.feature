Feature: The power cap is a budget of watts in use

  Scenario: Each running request takes its upstream's watts
    Given a pool and 250 watts with upstreams
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

  Scenario: A lower cap stops new work until enough has ended
    Given a pool and 400 watts with upstreams
      | name | models | slots | watts_per_slot |
      | e1   | m      | 4     | 100            |
    When requests arrive
      | id | tier |
      | a  | 0    |
      | b  | 0    |
      | c  | 0    |
      | d  | 0    |
    And they are granted
    And the power cap becomes 200 watts
    And requests arrive
      | id | tier |
      | e  | 0    |
    And "a" is released
    And "b" is released
    Then "c" is granted and "e" waits
    When "c" is released
    Then "e" is granted

  Scenario: Running requests count by the watts now in the records
    Given a pool and 400 watts with upstreams
      | name | models | slots | watts_per_slot |
      | e1   | m      | 4     | 100            |
    When requests arrive
      | id | tier |
      | a  | 0    |
      | b  | 0    |
    And they are granted
    And every upstream's slots cost 200 watts
    Then 400 watts are in use
    When "a" is released
    And "b" is released
    Then 0 watts are in use

  Scenario: Work that takes no power goes on while the cap is reached
    Given a pool and 100 watts with upstreams
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
