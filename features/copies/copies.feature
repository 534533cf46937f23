Feature: Copies of responses don't end or double the requests under way

  # Guards against a copy of a refusal that is believed for the same request, which is
  # under way again on the connection: its address has got another name (TWICE, REFUSED).
  Scenario Outline: A refused request comes again to its address under another name
    Given a site whose upstream has two names and refuses each request at first
    And it sends a copy of the refusal before the response to the same request
    When callers send 4 <kind> requests in turn
    Then no caller is told that a request has not run which the upstream ran
    And no request ran twice

    Examples:
      | kind             |
      | idempotent       |
      | stream           |
      | resumable stream |
