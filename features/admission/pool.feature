Feature: The slot allocation of a group of upstreams

  Scenario: A request starts while a slot is free
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 1     |
    When requests arrive
      | id | tier |
      | a  | 0    |
      | b  | 0    |
    Then "a" is granted and "b" waits
    When "a" is released
    Then "b" is granted
    And all grants have different ids

  Scenario: A more urgent request is granted before an older one
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 1     |
    When requests arrive
      | id    | tier |
      | first | 0    |
    And the pool grants free slots
    And requests arrive
      | id    | tier |
      | draft | 3    |
      | query | 0    |
    When "first" is released
    Then "query" is granted and "draft" waits

  Scenario: Releasing a slot twice frees the slot only once
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 1     |
    When requests arrive
      | id | tier |
      | a  | 0    |
    And the pool grants free slots
    And "a" is released
    And "a" is released
    And requests arrive
      | id | tier |
      | b  | 0    |
      | c  | 0    |
    Then "b" is granted and "c" waits

  Scenario: A full queue refuses the newest request of the lowest tier
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 1     |
    And the queue limit is 2 requests
    When requests arrive
      | id     | tier |
      | draft1 | 3    |
      | draft2 | 3    |
      | query  | 0    |
    Then "draft2" is refused with "queue-full"
    When requests arrive
      | id     | tier |
      | draft3 | 3    |
      | draft4 | 3    |
    Then "draft4" is refused with "queue-full"
    And "draft3" is not refused

  Scenario: A request that missed its deadline is refused
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 1     |
    When requests arrive
      | id | tier |
      | a  | 0    |
    And the pool grants free slots
    And requests arrive
      | id | tier | deadline_s |
      | b  | 0    | 5          |
    And 5 seconds pass
    Then "b" is refused with "deadline-passed"

  Scenario: A leaving upstream gets no new work
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 4     |
      | e2   | m      | 4     |
    When "e1" reports that it is leaving
    And requests arrive
      | id | tier |
      | a  | 0    |
      | b  | 0    |
    Then "a" is granted on "e2"
    And "b" is granted on "e2"

  Scenario: The power cap limits the number of running requests
    Given a pool with upstreams and a power cap of 250 watts
      | name | models | slots | watts_per_slot |
      | e1   | m      | 4     | 100            |
    When requests arrive
      | id | tier |
      | a  | 0    |
      | b  | 0    |
      | c  | 0    |
    Then 2 requests are granted

  Scenario: A new coordinator counts the slots that holders report
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 2     |
    When a holder reports a held slot on "e1" for request "old"
    And requests arrive
      | id | tier |
      | a  | 0    |
      | b  | 0    |
    Then "a" is granted and "b" waits
    When "old" is released
    Then "b" is granted

  Scenario: A conservative share includes at least one slot of each upstream
    Given a pool with a conservative share of 0.2 of upstreams
      | name | models | slots |
      | e1   | m      | 10    |
      | e2   | m      | 3     |
    When requests arrive
      | id | tier |
      | a  | 0    |
      | b  | 0    |
      | c  | 0    |
      | d  | 0    |
    Then 3 requests are granted

  Scenario: Requests that the pool did not grant take slots of an upstream
    Given a pool with upstreams
      | name | models | slots |
      | e2   | m      | 4     |
    When "e2" reports 3 running requests
    And requests arrive
      | id | tier |
      | a  | 0    |
      | b  | 0    |
    Then "a" is granted and "b" waits
    When 16 seconds pass
    Then "b" is granted
