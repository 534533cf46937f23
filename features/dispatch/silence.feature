Feature: Calls that wait for a non-streamed response end when the upstream is silent

  Background:
    Given streams have an idle timeout of 2 s

  Scenario: A silent stream ends the calls that wait for the same upstream
    Given a call has waited for its response since 0 s
    And a stream ends as silent at 5 s
    When 10 s have passed
    Then the call ended as silent at 5 s

  Scenario: A call that was just sent waits for the full idle timeout
    Given a call has waited for its response since 4 s
    And a stream ends as silent at 5 s
    When 10 s have passed
    Then the call ended as silent at 6 s

  Scenario: A silent stream ends no call while another stream receives tokens
    Given a call has waited for its response since 0 s
    And a stream ends as silent at 5 s
    And another stream receives tokens continuously
    When 10 s have passed
    Then the call still waits

  Scenario: A non-idempotent call is not ended early
    Given a non-idempotent call has waited for its response since 0 s
    And a stream ends as silent at 5 s
    When 10 s have passed
    Then the call still waits

  Scenario: A call that waits for another upstream is not ended
    Given a call has waited for another upstream since 0 s
    And a stream ends as silent at 5 s
    When 10 s have passed
    Then the call still waits
