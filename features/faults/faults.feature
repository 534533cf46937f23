Feature: Failing upstreams

  Background:
    Given two engines of one model
    And a plain service
    And a daemon before them

  Scenario: A refusing engine's request runs on the other
    When one engine refuses
    And 6 completions are asked for
    Then each is whole and told as completed

  Scenario: A stream that ends short is resumed after its last event
    When each engine ends its streams after 4 events
    And a stream of 5 to 12 events is asked for
    Then each event came once and the stream is whole

  Scenario: A stream whose engine crashes goes on at the other
    When a long stream has begun
    And its engine crashes
    Then each event came once and the stream is whole

  Scenario: A stream whose engine falls silent goes on at the other
    When a long stream has begun
    And its engine falls silent
    Then each event came once and the stream is whole

  Scenario: A stream that can't be made whole is not passed off as whole
    When each engine ends its streams after 1 events
    And a stream of 9 to 400 events is asked for
    Then the stream ends without its end marker and tells "failed"

  Scenario Outline: A non-idempotent call whose answer is lost runs once
    When the service loses its answers
    And a <method> that may not be repeated is sent
    Then the outcome is "unknown" for "connection-lost"
    And the service ran it 1 time

    Examples:
      | method |
      | POST   |
      | PUT    |

  Scenario: An idempotent call whose answer is lost is repeated within bounds
    When the service loses its answers
    And a GET is sent
    Then the outcome is "unknown" for "connection-lost"
    And the service ran it 4 times

  Scenario: What a refusing service did not start is told as not run
    When the service refuses
    And a POST that may not be repeated is sent
    Then the outcome is "not-run" for "upstream-refused"
    And the service ran it 0 times

  Scenario: A whole answer of a service is passed on
    When a POST that may not be repeated is sent
    Then the outcome is "completed"
    And the answer is the service's answer to that call
