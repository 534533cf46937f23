Feature: An upstream that says in its responses that it is leaving gets nothing more

  # Guards against instances that wait for the list to say so, which may be late or away.
  Scenario Outline: A response that says so counts, whatever else it says
    Given a site whose upstream says that it is leaving and <kind>
    And another upstream that streams 3 events
    When 8 callers request resumable streams
    Then the first upstream received at most 1 request

    Examples: kind
      | kind               |
      | answers correctly  |
      | fails              |
      | refuses            |
      | streams 3 events   |
      | answers 503 without a proof |

  Scenario: All upstreams leave
    Given a site whose upstream says that it is leaving and answers correctly
    When 5 callers send idempotent requests
    Then the first upstream received at most 1 request
    And the last caller gets the status 503 at once with Retry-After

  Scenario: The list takes the upstream for ready again
    Given a site whose upstream says that it is leaving and answers correctly
    And another upstream that answers correctly
    When 8 callers send idempotent requests
    And the first upstream leaves the list and is listed again
    And 8 callers send idempotent requests
    Then each caller gets "done"
    And the first upstream received at most 1 request

  Scenario: The store is restored from a copy in which the upstream is ready
    Given a site whose upstream says that it is leaving and answers correctly
    And another upstream that answers correctly
    When a copy of the store is made
    And 8 callers send idempotent requests
    And the first upstream leaves the list
    And the copy of the store is restored
    And 6 s pass
    And 8 callers send idempotent requests
    Then each caller gets "done"
    And the first upstream received at most 1 request

  Scenario: A new process under the same name gets requests
    Given a site whose upstream says once that it is leaving
    And another upstream that answers correctly
    When 8 callers send idempotent requests
    And the first upstream is listed as a new process
    And 20 callers send idempotent requests
    Then each caller gets "done"
    And the first upstream received at least 3 requests

  Scenario: Another value than 1 is ignored
    Given a site whose upstream states "Server-Leaving: perhaps"
    When 4 callers send idempotent requests
    Then each caller gets "done"
    And the program logged "upstream-notice-rejected" once
