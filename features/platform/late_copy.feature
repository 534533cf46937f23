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
