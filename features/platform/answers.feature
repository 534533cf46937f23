Feature: Only a complete response that belongs to the request is forwarded

  Scenario Outline: An invalid response to a non-idempotent request is not forwarded
    Given a site whose upstream <fault>
    When a caller sends a non-idempotent request
    Then the caller gets the status 502
    And the upstream received 1 request

    Examples:
      | fault                              |
      | leaves the signature out           |
      | answers with another request's id  |
      | cuts its answer                    |
      | sends bytes that are no answer     |
      | answers 503 without a proof        |

  Scenario: A response without a length is forwarded without one
    Given a site whose upstream answers without a length
    When a caller sends a non-idempotent request
    Then the caller gets "done"
    And the response ended by closing the connection

  # Guards against failures of upstreams that reach their callers cut by a reset, although
  # nothing of them is missing.
  Scenario Outline: A failure without a length reaches the caller whole
    Given a site whose upstream fails without a length <body>
    When a caller sends a non-idempotent request and reads to the end of the connection
    Then the caller received the failure and its <size> bytes
    And the connection ended regularly

    Examples:
      | body            | size |
      | and with a body | 2    |
      | and without one | 0    |

  # Guards against a made-up body under the signature of an upstream.
  Scenario: A failure with an empty body is forwarded unchanged
    Given a site whose upstream fails with an empty body
    When a caller sends a non-idempotent request
    Then the caller gets the status 500
    And the response has the upstream's signature
    And the response has no body and nothing of this instance

  Scenario: An upstream's error response is forwarded unchanged
    Given a site whose upstream fails
    When a caller sends a non-idempotent request
    Then the caller gets the status 500
    And the response has the upstream's signature

  Scenario: A truncated stream is visibly truncated for the caller
    Given a site whose upstream cuts its stream after 2 events
    When a caller requests a stream
    Then the caller got 2 events
    And the response is cut

  Scenario: A complete stream is forwarded unchanged
    Given a site whose upstream streams 3 events
    When a caller requests a stream
    Then the caller got 3 events
    And the response is whole
