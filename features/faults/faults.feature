Feature: Requests are retried, resumed or reported correctly when upstreams fail

  Background:
    Given two engines that serve the same model
    And a plain service
    And a daemon that uses these upstreams

  Scenario: A request that one engine refuses runs on the other engine
    When one engine refuses requests
    And 6 completions are requested
    Then each response is complete and has the outcome completed

  Scenario: A stream that ends early is resumed after its last event
    When each engine ends its streams after 4 events
    And a stream of 5 to 12 events is requested
    Then each event arrived once and the stream is complete

  Scenario: A stream whose engine crashes continues on the other engine
    When a long stream has started
    And the engine of the stream crashes
    Then each event arrived once and the stream is complete

  Scenario: A stream whose engine stops responding continues on the other engine
    When a long stream has started
    And the engine of the stream stops responding
    Then each event arrived once and the stream is complete

  Scenario: A stream that cannot be completed is not presented as complete
    When each engine ends its streams after 1 events
    And a stream of 9 to 400 events is requested
    Then the stream ends without its end marker and reports the outcome "failed"

  Scenario Outline: A non-idempotent request whose response is lost runs once
    When the service loses its responses
    And a <method> request that must not be repeated is sent
    Then the outcome is "unknown" with the reason "connection-lost"
    And the service ran the request 1 time

    Examples:
      | method |
      | POST   |
      | PUT    |

  Scenario: An idempotent request whose response is lost is retried a limited number of times
    When the service loses its responses
    And a GET request is sent
    Then the outcome is "unknown" with the reason "connection-lost"
    And the service ran the request 4 times

  Scenario: A request that a refusing service did not start is reported as not run
    When the service refuses requests
    And a POST request that must not be repeated is sent
    Then the outcome is "not-run" with the reason "upstream-refused"
    And the service ran the request 0 times

  Scenario: A complete response of a service is forwarded
    When a POST request that must not be repeated is sent
    Then the outcome is "completed"
    And the response is the service's response to that request
