Feature: A request with an idempotency key runs at most once, on any instance

  Background:
    Given a platform and a plain service
    And two daemons in two data centres that share them

  Scenario: A request repeated at another instance receives the recorded response
    When a submission with an idempotency key is sent to the first daemon
    And the same submission is sent to the second daemon
    Then both daemons return the service's response with the outcome completed
    And the service ran the request 1 time

  Scenario: Concurrent repeats of a request run once
    When a submission with an idempotency key is sent 6 times concurrently, half of them to each daemon
    Then all responses are the service's response with the outcome completed
    And the service ran the request 1 time

  Scenario: A request with the idempotency key of a different request is refused
    When a submission with an idempotency key is sent to the first daemon
    And a different submission with the same idempotency key is sent to the second daemon
    Then the second daemon reports the outcome "not-run" with the reason "key-reused"
    And the service ran the request 1 time

  Scenario: A submission continues after its caller disconnects
    When the caller of a submission with an idempotency key disconnects while the submission runs
    And the same submission is sent to the second daemon
    Then the second daemon returns the service's response with the outcome completed
    And the service ran the request 1 time

  Scenario: While the platform is down, requests with an idempotency key are not sent and others are served
    When the platform is down
    And a submission with an idempotency key is sent to the first daemon
    Then the first daemon reports the outcome "unknown" with the reason "platform-unavailable"
    And a submission without an idempotency key returns the service's response with the outcome completed
    And the service ran the submission with the idempotency key 0 times

  Scenario: A request repeated while the platform is down is not reported as not run
    When a submission with an idempotency key is sent to the first daemon
    And the platform is down
    And the same submission is sent to the second daemon
    Then the second daemon reports the outcome "unknown" with the reason "platform-unavailable"
    And the service ran the request 1 time

  Scenario: When the platform's reply to a write is lost, the daemon reads the result back
    When the platform loses every reply to a write
    And a submission with an idempotency key is sent to the first daemon
    Then the first daemon returns the service's response with the outcome completed
    And the service ran the request 1 time
