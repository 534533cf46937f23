Feature: Faults of the stand-ins for upstreams

  Scenario: A refusing engine proves that it did not start
    Given an engine
    When the engine has the faults {"is_refusing": true}
    Then a request is answered with status 503 and the header X-Not-Started
    And the journal is empty

  Scenario: A silent engine answers nothing but its load
    Given an engine
    When the engine has the faults {"is_silent": true}
    Then a request gets no answer while the load report does
    When the engine has the faults {}
    Then the next request is answered

  Scenario: A stream that ends short has no end marker
    Given an engine
    When the engine has the faults {"end_after_events": 3}
    Then a stream ends after 3 events without its end marker

  Scenario: The load report can be false
    Given an engine
    When the engine has the faults {"load_report": {"running": 7}, "is_leaving": true}
    Then the load report says 7 running and leaving

  Scenario: A closed engine refuses connections
    Given an engine
    When the engine has the faults {"is_closed": true}
    Then a connection to the engine is refused

  Scenario: An unknown fault is refused
    Given an engine
    Then the faults {"is_tired": true} are answered with status 400

  Scenario: A plain service answers as a function of the call and journals its key
    Given a service
    When the service is called with the idempotency key "k-1"
    Then its answer is the expected one
    And its journal says that "k-1" was received, started and ended

  Scenario: A plain service carries out what it has begun
    Given a service
    When the service has the faults {"is_losing_answers": true}
    And the service is called with the idempotency key "k-2"
    Then no answer comes
    And its journal says that "k-2" was received, started and ended
