Feature: Upstreams come and go by the platform's list

  Scenario: A leaving upstream gets nothing new
    Given a site whose upstream answers well
    And another upstream that answers well
    When the first upstream is leaving
    And 1 s pass
    And 6 callers read
    Then each gets "done"
    And the first upstream read 0 requests

  Scenario: An entry that can't be read names no upstream
    Given a site whose upstream answers well
    When an entry without an address is listed
    And an entry of an unknown state is listed
    And an entry that isn't text is listed
    And 6 callers read
    Then each gets "done"

  Scenario: Only the system tells an upstream what only the system may
    Given a site whose upstream answers well
    When a caller reads with headers that only the system may set
    Then it gets "done"
    And the upstream read none of them

  Scenario: A list whose news fall silent is asked anew
    Given a site whose upstream answers well
    And another upstream that answers well
    When 0.6 s pass
    And the news of the list fall silent
    And the first upstream is leaving
    And 2 s pass
    And 6 callers read
    Then each gets "done"
    And the first upstream read 0 requests
    And it logged "list-silent"

  Scenario: A change of the configuration doesn't hide that the list's news are silent
    Given a site whose upstream answers well
    And another upstream that answers well
    When 0.6 s pass
    And the news of the list fall silent
    And the first upstream is leaving
    And the configuration is written again
    And 2 s pass
    And 6 callers read
    Then each gets "done"
    And the first upstream read 0 requests
    And it logged "list-silent"

  Scenario: An error of the event loop counts as a call without an answer
    Given a client of the store whose connections fail with "RuntimeError"
    Then reading the list fails as a source that gave no answer
