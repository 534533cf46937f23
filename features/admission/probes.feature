Feature: The pool sends only probes to an ejected upstream

  Background:
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 4     |
      | e2   | m      | 4     |
    And "e1" was ejected

  Scenario: Requests go to the other upstreams
    When requests arrive
      | id | tier |
      | a  | 0    |
      | b  | 0    |
    Then "a" is granted on "e2"
    And "b" is granted on "e2"

  Scenario: A request of a lower tier is the probe even if a more urgent request waits
    When 1 seconds pass
    And requests arrive
      | id    | tier |
      | query | 0    |
      | draft | 3    |
    Then "draft" is granted on "e1"
    And "query" is granted on "e2"

  Scenario: A request of the most urgent tier is the probe only if it would wait otherwise
    When 1 seconds pass
    And 4 requests of tier 0 are running
    And requests arrive
      | id | tier |
      | a  | 0    |
      | b  | 0    |
    Then "a" is granted on "e1"
    And "b" is neither granted nor refused

  Scenario: A successful probe returns the upstream to service
    When 1 seconds pass
    And requests arrive
      | id    | tier |
      | draft | 3    |
    And "draft" is released
    And 8 requests of tier 0 are running
    Then every upstream runs 4 requests

  Scenario: A request that failed on the ejected upstream waits for another upstream
    When 1 seconds pass
    And 4 requests of tier 0 are running
    And requests arrive
      | id | tier | excluded |
      | a  | 0    | e1       |
    Then "a" is neither granted nor refused

  Scenario: A request that failed on all upstreams may be the probe
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 4     |
    And "e1" was ejected
    When 1 seconds pass
    And requests arrive
      | id | tier | excluded |
      | a  | 0    | e1       |
    Then "a" is granted on "e1"

  Scenario: A non-idempotent request is the probe only if all upstreams are ejected
    When 1 seconds pass
    And requests arrive
      | id    | tier | idempotent |
      | draft | 3    | no         |
    Then "draft" is granted on "e2"
    Given a pool with upstreams
      | name | models | slots |
      | e1   | m      | 4     |
    And "e1" was ejected
    When 1 seconds pass
    And requests arrive
      | id    | tier | idempotent |
      | draft | 3    | no         |
    Then "draft" is granted on "e1"
