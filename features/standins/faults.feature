Feature: Fault injection into the stand-ins for upstreams

  Scenario: A refusing engine states that it did not start the request
    Given an engine
    When the engine is set to the faults {"is_refusing": true}
    Then a request is refused with status 503 and the header X-Not-Started
    And the journal is empty

  Scenario: A silent engine responds only to requests for its load report
    Given an engine
    When the engine is set to the faults {"is_silent": true}
    Then a request receives no response while the load report is served
    When the engine is set to the faults {}
    Then the next request receives the expected response

  Scenario: A truncated stream has no end marker
    Given an engine
    When the engine is set to the faults {"end_after_events": 3}
    Then a stream ends after 3 events without its end marker

  Scenario: Faults override fields of the load report
    Given an engine
    When the engine is set to the faults {"load_report": {"running": 7}, "is_leaving": true}
    Then the load report shows 7 running requests and that the engine is leaving

  Scenario: A closed engine refuses connections
    Given an engine
    When the engine is set to the faults {"is_closed": true}
    Then a connection to the engine is refused

  Scenario: An unknown fault is refused
    Given an engine
    Then the faults {"is_tired": true} are refused with status 400

  Scenario: A plain service sends the expected response and journals the idempotency key
    Given a service
    When the service is called with the idempotency key "k-1"
    Then its response is the expected one
    And its journal records that "k-1" was received, started and ended

  Scenario: A plain service completes a started request although its response is lost
    Given a service
    When the service is set to the faults {"is_losing_answers": true}
    And the service is called with the idempotency key "k-2"
    Then no response arrives
    And its journal records that "k-2" was received, started and ended
