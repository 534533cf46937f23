Feature: Copies of responses don't end or double the requests under way

  # Guards against a request that ends or is sent again, while its upstream works on it,
  # because a copy of an earlier response comes before its own (TWICE, BUDGET).
  Scenario Outline: A copy of the last <copied> comes before the own response
    Given a site whose upstream sends a copy of the last <copied> before each response
    When callers send 6 <kind> requests in turn
    Then each request that the upstream ran has arrived once and got its own response
    And no caller is told that a request has not run which the upstream ran

    Examples:
      | copied  | kind             |
      | answer  | idempotent       |
      | answer  | stream           |
      | answer  | resumable stream |
      | refusal | idempotent       |
      | refusal | stream           |
      | refusal | resumable stream |

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

  # Guards against a request that is sent on a connection whose upstream may still work on
  # the one before, and gets that one's response.
  Scenario Outline: A response that proves nothing ends its connection
    Given a site whose upstream <fault> and keeps the connection
    When callers send 4 idempotent requests in turn
    Then each request has arrived on a connection of its own

    Examples:
      | fault                                 |
      | leaves the signature out              |
      | answers with another request's id     |
      | answers 503 without a proof           |
