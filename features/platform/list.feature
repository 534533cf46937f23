Feature: The platform's list adds and removes upstreams

  Scenario: A leaving upstream gets no new requests
    Given a site whose upstream answers correctly
    And another upstream that answers correctly
    When the first upstream is leaving
    And 1 s pass
    And 6 callers send idempotent requests
    Then each caller gets "done"
    And the first upstream received 0 requests

  Scenario: The log tells what the choice of an upstream was based on
    Given a site whose upstream answers correctly
    And another upstream that answers correctly
    When 3 callers send idempotent requests
    Then each "request-granted" line of the program has "load,lowest_load,candidates"

  Scenario: An invalid list entry is ignored
    Given a site whose upstream answers correctly
    When an entry without an address is listed
    And an entry of an unknown state is listed
    And an entry that isn't text is listed
    And 6 callers send idempotent requests
    Then each caller gets "done"

  Scenario: Reserved headers of a caller are not forwarded
    Given a site whose upstream answers correctly
    When a caller sends an idempotent request with reserved headers
    Then the caller gets "done"
    And the upstream received none of the reserved headers

  Scenario: A list whose change feed is silent is read again
    Given a site whose upstream answers correctly
    And another upstream that answers correctly
    When 0.6 s pass
    And the change feed of the list becomes silent
    And the first upstream is leaving
    And 2 s pass
    And 6 callers send idempotent requests
    Then each caller gets "done"
    And the first upstream received 0 requests
    And the program logged "upstream-list-stalled"

  Scenario: A change of the configuration does not hide that the list's change feed is silent
    Given a site whose upstream answers correctly
    And another upstream that answers correctly
    When 0.6 s pass
    And the change feed of the list becomes silent
    And the first upstream is leaving
    And the configuration is written again
    And 2 s pass
    And 6 callers send idempotent requests
    Then each caller gets "done"
    And the first upstream received 0 requests
    And the program logged "upstream-list-stalled"

  Scenario: A change of the configuration does not interrupt the list's change feed
    Given a site whose upstream answers correctly
    When 1.5 s pass
    And the configuration is written again
    And 2 s pass
    Then the program did not log "upstream-list-stalled"

  Scenario: An error of the event loop counts as a failed call to the store
    Given a client of the store whose connections fail with "RuntimeError"
    Then reading the list fails with a source error
