Feature: Requests that are sent again

  Scenario: An idempotent request is sent to another upstream after a failure
    Given a site whose upstream fails
    And another upstream that answers correctly
    When 2 callers send idempotent requests
    Then each caller gets "done"

  Scenario: A non-idempotent request that may have run is not sent again
    Given a site whose upstream cuts its answer
    And another upstream that cuts its answer
    When a caller sends a non-idempotent request
    Then the caller gets the status 502
    And the upstreams received 1 request in total

  Scenario: A request that provably has not run is sent to another upstream
    Given a site whose upstream refuses
    And another upstream that answers correctly
    When 2 callers send non-idempotent requests
    Then each caller gets "done"

  Scenario: A request that every upstream refuses is reported as not run
    Given a site whose upstream refuses
    When a caller sends a non-idempotent request
    Then the caller gets the status 503
    And the response has a Retry-After header

  # Guards against the promise that a request has not run, made for one that may have: it
  # was sent once, and is refused when it is to be sent again (REFUSED).
  Scenario: A request that may have run is refused a further upstream
    Given a site whose upstream wants a rest and doesn't say that it ran nothing
    When 1 callers send idempotent requests
    Then the upstreams received 1 request in total
    And the caller gets the status 502

  Scenario: Retries stay within the budget
    Given a site that may repeat 6 requests in 10 s, whose upstream fails
    And another upstream that fails
    When 12 callers send idempotent requests
    Then the upstreams received 14 requests in total

  Scenario: A request to an address that another process has taken over is sent elsewhere
    Given a site whose upstream is another process
    And another upstream that answers correctly
    When 6 callers send non-idempotent requests
    Then each caller gets "done"

  Scenario: A stream is resumed after its last event on another upstream
    Given a site whose upstream cuts its stream after 2 events
    And another upstream that resumes after the last event
    When 2 callers request resumable streams
    Then each caller got 4 events in order

  Scenario: A stream that restarts on another upstream is not appended to its first part
    Given a site whose upstream cuts its stream after 2 events
    And another upstream that streams 3 events
    When 6 callers request resumable streams
    Then no caller got an event twice
    And the response of some caller is cut

  Scenario: The timeout of the route limits the time to the response
    Given a site whose upstream is silent
    When a caller sends an idempotent request on the short route
    Then the caller gets the status 504
    And the caller waited less than 0.9 s

  Scenario: A caller that disconnects ends its stream on the upstream
    Given a site whose upstream is silent
    When a caller disconnects during its stream
    Then the upstream's connection has ended

  Scenario: A silent upstream is abandoned while there is time for another one
    Given a site whose upstream is silent
    And another upstream that answers correctly
    When 2 callers send idempotent requests
    Then each caller gets "done"

  Scenario: A resumable stream is moved away from a silent upstream
    Given a site whose upstream is silent
    And another upstream that resumes after the last event
    When 2 callers request resumable streams
    Then each caller got 4 events in order
