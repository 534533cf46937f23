Feature: Teams share a tier fairly

  Scenario: Teams of equal weight take turns
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 1     |
    When requests arrive
      | id | tier | team  |
      | a1 | 1    | large |
      | a2 | 1    | large |
      | a3 | 1    | large |
      | b1 | 1    | small |
      | b2 | 1    | small |
    Then the requests run one by one in the order "a1 b1 a2 b2 a3"

  Scenario: A team of twice the weight gets twice the turns
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 1     |
    When requests arrive
      | id | tier | team | weight |
      | a1 | 1    | a    | 2      |
      | a2 | 1    | a    | 2      |
      | a3 | 1    | a    | 2      |
      | a4 | 1    | a    | 2      |
      | b1 | 1    | b    | 1      |
      | b2 | 1    | b    | 1      |
      | b3 | 1    | b    | 1      |
    Then the requests run one by one in the order "a1 b1 a2 b2 a3 a4 b3"

  Scenario: A team is charged for the actual length of its answers
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 1     |
    And the answers of team "long" have 350 tokens
    When requests arrive
      | id | tier | team  | tokens |
      | a1 | 1    | long  | 100    |
      | a2 | 1    | long  | 100    |
      | b1 | 1    | short | 100    |
      | b2 | 1    | short | 100    |
      | b3 | 1    | short | 100    |
      | b4 | 1    | short | 100    |
    Then the requests run one by one in the order "a1 b1 b2 b3 b4 a2"

  Scenario: The expected length of an answer is learned by class and team
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 1     |
    And the answers of team "long" have 300 tokens
    When requests arrive
      | id | tier | team |
      | a1 | 1    | long |
    Then the requests run one by one in the order "a1"
    And a request of team "long" is expected to have 300 tokens
    And a request of team "other" is expected to have 300 tokens

  Scenario: A team gets no credit for the time when it was idle
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 1     |
    When requests arrive
      | id | tier | team |
      | a1 | 1    | a    |
      | a2 | 1    | a    |
      | a3 | 1    | a    |
    Then the requests run one by one in the order "a1 a2 a3"
    When requests arrive
      | id | tier | team |
      | a4 | 1    | a    |
      | a5 | 1    | a    |
      | b1 | 1    | b    |
      | b2 | 1    | b    |
    Then the requests run one by one in the order "b1 a4 b2 a5"

  Scenario: Among the requests of a team the one with the earliest deadline goes first
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 1     |
    When requests arrive
      | id   | tier | deadline_s |
      | late | 1    | 60         |
      | soon | 1    | 20         |
    Then the requests run one by one in the order "soon late"

  Scenario: A team at its limit waits while another team runs requests
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 3     |
    When requests arrive
      | id | tier | team | team_limit |
      | a1 | 0    | a    | 1          |
      | a2 | 0    | a    | 1          |
      | b1 | 1    | b    | 0          |
    Then "a1" is granted and "a2" waits
    And "b1" is granted
    When "a1" is released
    Then "a2" is granted

  Scenario: A request whose team is at its limit until the deadline is refused for the limit
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 3     |
    When requests arrive
      | id | tier | team | team_limit | deadline_s |
      | a1 | 0    | a    | 1          | 4          |
      | a2 | 0    | a    | 1          | 5          |
    And the pool grants free slots
    And 5 seconds pass
    Then "a2" is refused with "team-limit"

  Scenario: A raised limit takes effect with the team's next request
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 3     |
    When requests arrive
      | id | tier | team | team_limit |
      | a1 | 0    | a    | 1          |
      | a2 | 0    | a    | 1          |
    And the pool grants free slots
    And requests arrive
      | id | tier | team | team_limit |
      | a3 | 0    | a    | 3          |
    Then 3 requests are granted
