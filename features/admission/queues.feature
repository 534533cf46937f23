Feature: The queues of a group of upstreams

  Scenario: A withdrawn request is never granted
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 1     |
    When requests arrive
      | id | tier |
      | a  | 0    |
      | b  | 0    |
    And "a" is withdrawn
    Then "b" is granted
    And "a" is neither granted nor refused

  Scenario: Withdrawn requests do not accumulate in memory
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 1     |
    When 1000 requests of 10 teams arrive
    And all requests except the first are withdrawn
    Then the queues hold at most 100 entries each
    And 1 requests wait

  Scenario: A request sent twice is granted once
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 4     |
    When requests arrive
      | id | tier |
      | a  | 0    |
      | a  | 0    |
    And the pool grants free slots
    And requests arrive
      | id | tier |
      | a  | 0    |
    Then 1 requests are granted

  Scenario: A target whose upstreams are full does not block another target
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 1     |
      | e2   | m,n    | 1     |
    When requests arrive
      | id | tier | target |
      | a  | 0    | m      |
      | b  | 0    | m      |
    And the pool grants free slots
    And requests arrive
      | id | tier | target |
      | c  | 0    | m      |
      | d  | 0    | n      |
    And the request on "e2" is released
    Then the request on "e2" is one of "c d"

  Scenario: A request whose upstreams have all left is refused at once
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 1     |
    When requests arrive
      | id | tier |
      | a  | 0    |
      | b  | 0    |
    And the pool grants free slots
    And "e1" reports that it is leaving
    Then "b" is refused with "no-upstream"
