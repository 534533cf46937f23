Feature: Traces of recent requests

  Scenario: A request's events are read back in order with their reasons
    Given a buffer for the traces of 4 requests with 4 events each
    When request "r1" has the events "queued, refused" one second apart
    Then the trace of "r1" is "queued@0.0, refused@1.0"

  Scenario: The oldest request is discarded when there are too many
    Given a buffer for the traces of 2 requests with 4 events each
    When request "r1" has the events "queued" one second apart
    And request "r2" has the events "queued" one second apart
    And request "r3" has the events "queued" one second apart
    Then there is no trace of "r1"
    And the trace of "r3" is "queued@0.0"

  Scenario: The oldest events of a request are discarded and counted
    Given a buffer for the traces of 2 requests with 2 events each
    When request "r1" has the events "queued, granted, sent" one second apart
    Then the trace of "r1" is "granted@1.0, sent@2.0"
    And 1 event of "r1" was dropped

  Scenario: A caller's text or key is not recorded
    Given a buffer for the traces of 2 requests with 2 events each
    When request "r1" has an event with the prompt "my cows"
    Then the trace of "r1" does not contain "my cows"

  Scenario: A trace that is sent to a peer is received unchanged
    Given a buffer for the traces of 2 requests with 2 events each
    When request "r1" has the events "queued, granted" one second apart
    Then the trace of "r1" is the same after encoding and decoding

  Scenario Outline: Bytes that are not a trace are rejected
    When the bytes <content> are decoded as a trace
    Then decoding fails with an error of the traces layer

    Examples:
      | content |
      | nonsense |
      | {"request_id": 1} |
      | {"request_id": "r", "events": [{"after_s": 0, "event": "e", "fields": {"x": [1]}}]} |
