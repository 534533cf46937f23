Feature: An upstream that turns a request away for some time gets nothing meanwhile

  # Guards against instances that go on to send to an upstream that answered 503 with a
  # time to come back.
  Scenario: The others serve while one upstream waits
    Given a site whose first 1 requests at the upstream get 503 with "Retry-After: 1.5"
    And another upstream that answers correctly
    When callers send 30 idempotent requests a second for 5 s
    Then each caller gets "done"
    And the first upstream received at most 2 requests from 0.5 to 1.5 s after its first 503
    And the first upstream received at least 10 requests in total

  Scenario: The load comes back in steps when the time has ended
    Given a site whose first 1 requests at the upstream get 503 with "Retry-After: 1.5"
    And another upstream that answers correctly
    When callers send 60 idempotent requests a second for 6 s
    Then the first upstream received fewer requests from 1.5 to 2.5 s after its first 503 than from 4.5 to 5.5 s

  Scenario: All upstreams wait
    Given a site whose first 50 requests at the upstream get 503 with "Retry-After: 1.5"
    When callers send 20 idempotent requests a second for 1 s
    Then the first upstream received at most 2 requests from 0.5 to 1.5 s after its first 503
    And the callers get the status 503 within 0.3 s with times to come back that differ

  Scenario Outline: A time that is no number of seconds is ignored
    Given a site whose first 2 requests at the upstream get 503 with "Retry-After: <value>"
    And another upstream that answers correctly
    When 30 callers send idempotent requests
    Then each caller gets "done"
    And the first upstream received at least 3 requests
    And the program logged "upstream-notice-rejected" once

    Examples: value
      | value                         |
      | -1                            |
      | nan                           |
      | 1e12                          |
      | Wed, 21 Oct 2026 07:28:00 GMT |

  # Guards against a time that is overlooked because of the form of its header.
  Scenario Outline: The time is read in each form that a header may have
    Given a site whose first 1 requests at the upstream get 503 with "<headers>"
    And another upstream that answers correctly
    When callers send 30 idempotent requests a second for 3 s
    Then each caller gets "done"
    And the first upstream received at most 2 requests from 0.5 to 1.5 s after its first 503

    Examples: forms
      | headers                          |
      | retry-after:1.5                  |
      | RETRY-AFTER:  1.500              |
      | Retry-After: 0; Retry-After: 1.5 |
      | Retry-After: 0, 1.5              |

  Scenario: The time in another response than 503 is not the upstream's
    Given a site whose upstream states "Retry-After: 60"
    When 4 callers send idempotent requests
    Then each caller gets "done"
