Feature: Only an upstream's whole own answer passes for one

  Scenario Outline: A spoiled answer to a request that may not be repeated
    Given a site whose upstream <fault>
    When a caller sends
    Then it gets the status 502
    And the upstream read 1 request

    Examples:
      | fault                              |
      | leaves the signature out           |
      | answers with another request's id  |
      | cuts its answer                    |
      | sends bytes that are no answer     |
      | answers 503 without a proof        |

  Scenario: An answer without a length is passed on without one
    Given a site whose upstream answers without a length
    When a caller sends
    Then it gets "done"
    And the answer ended with its connection

  Scenario: An upstream's own failure is passed on as it is
    Given a site whose upstream fails
    When a caller sends
    Then it gets the status 500
    And it got the upstream's signature

  Scenario: A stream that is cut ends visibly early
    Given a site whose upstream cuts its stream after 2 events
    When a caller streams
    Then it got 2 events
    And the answer is cut

  Scenario: A whole stream arrives unchanged
    Given a site whose upstream streams 3 events
    When a caller streams
    Then it got 3 events
    And the answer is whole
