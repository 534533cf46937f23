Feature: Whole answers are not awaited from an upstream that is silent

  Background:
    Given streams may be silent for 2 s

  Scenario: A stream's silence ends the waits beside it
    Given a whole answer is awaited since 0 s
    And a stream falls silent at 5 s
    When 10 s have passed
    Then the wait ended as silent at 5 s

  Scenario: A wait that has just begun gets the time that a stream has
    Given a whole answer is awaited since 4 s
    And a stream falls silent at 5 s
    When 10 s have passed
    Then the wait ended as silent at 6 s

  Scenario: One lost connection ends no wait while another stream goes on
    Given a whole answer is awaited since 0 s
    And a stream falls silent at 5 s
    And another stream brings tokens all the time
    When 10 s have passed
    Then the wait goes on

  Scenario: A call that may not be repeated is awaited to its end
    Given a whole answer of a non-idempotent call is awaited since 0 s
    And a stream falls silent at 5 s
    When 10 s have passed
    Then the wait goes on

  Scenario: Another upstream's waits go on
    Given a whole answer is awaited since 0 s from another upstream
    And a stream falls silent at 5 s
    When 10 s have passed
    Then the wait goes on
