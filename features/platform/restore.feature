Feature: The platform's store is restored from a copy

  Scenario: A key that was revoked after the copy was made stays revoked
    Given a site whose upstream answers correctly
    When a copy of the store is made
    And a configuration without the key is written
    And 0.6 s pass
    And the copy of the store is restored
    And 1.2 s pass
    And a caller sends an idempotent request with its key
    Then the program logged "source-era-changed"
    And the caller gets the status 401

  Scenario: An upstream that was leaving gets no new requests
    Given a site whose upstream answers correctly
    And another upstream that answers correctly
    When a copy of the store is made
    And the first upstream is leaving
    And 1 s pass
    And the copy of the store is restored
    And 2 s pass
    And 6 callers send idempotent requests
    Then each caller gets "done"
    And the first upstream received 0 requests

  Scenario: Changes whose revisions are given out again are applied
    Given a site whose upstream answers correctly
    And another upstream that answers correctly
    When a copy of the store is made
    And the configuration is written again
    And 0.6 s pass
    And the copy of the store is restored
    And the first upstream is leaving
    And 2 s pass
    And 6 callers send idempotent requests
    Then each caller gets "done"
    And the first upstream received 0 requests
