Feature: A response that comes late on a connection is not the next caller's

  # Guards against a second copy of a response that arrives when its connection already has
  # the next request: the next caller would get it, and the one after it the next one's.
  Scenario Outline: The copy comes after the next request was sent
    Given a site whose upstream sends a copy of each response before the next one
    When callers send 6 <kind> requests in turn
    Then no caller got the body of another's response
    And the upstream received at most <runs> requests

    Examples:
      | kind           | runs |
      | idempotent     | 12   |
      | non-idempotent | 6    |

  # Guards against an earlier refusal that is believed for a request which the upstream
  # runs: its caller is told that it has not run, or another upstream runs it too.
  Scenario Outline: A copy of an earlier refusal comes after the next request was sent
    Given a site whose upstream refuses each second request and sends a copy before the next response
    When callers send 8 <kind> requests in turn
    Then no caller is told that a request has not run which the upstream ran
    And no request ran twice of those that may run once

    Examples:
      | kind             |
      | idempotent       |
      | non-idempotent   |
      | stream           |
      | resumable stream |

  # Guards against a statement of the past that is taken for the upstream's present one.
  Scenario: A copy of an earlier refusal names a time to wait and a load
    Given a site whose upstream refuses its first request and sends a copy before its second response
    And another upstream that answers correctly
    When callers send 40 resumable stream requests in turn
    Then the first upstream received at least 8 requests
