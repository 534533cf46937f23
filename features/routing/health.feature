Feature: Crashed and silent upstreams are ejected, and reinstated by probes

  Scenario: Two failed connections in a row eject an upstream for a second
    When requests end as "connect-failed connect-failed"
    Then the upstream is ejected
    And no probe may be sent
    When 1 seconds pass
    Then a probe may be sent

  Scenario: A silent upstream has the same weight as a failed connection
    When requests end as "silent lost"
    Then the upstream is ejected

  Scenario: Three errors in a row eject an upstream
    When requests end as "error error"
    Then the upstream is not ejected
    When requests end as "error"
    Then the upstream is ejected

  Scenario: A success between failures prevents an ejection
    When requests end as "error error completed error error"
    Then the upstream is not ejected

  Scenario: Refused and cancelled requests don't affect an upstream's health
    When requests end as "refused cancelled refused cancelled refused"
    Then the upstream is not ejected

  Scenario: Each failed probe doubles the time to the next probe, up to a limit
    When requests end as "error error error"
    Then failed probes follow after "1 2 4 8 16 30 30" seconds

  Scenario: A successful probe reinstates the upstream
    When requests end as "error error error"
    And 1 seconds pass
    And a probe ends as "completed"
    Then the upstream is not ejected
    When requests end as "error error"
    Then the upstream is not ejected

  Scenario: A request that started before the ejection doesn't reinstate the upstream
    When requests end as "error error error completed"
    Then the upstream is ejected

  Scenario: A probe that runs long enough reinstates the upstream before it ends
    When requests end as "silent silent"
    And 1 seconds pass
    And a probe starts
    Then the upstream is ejected
    And no probe may be sent
    When 5 seconds pass
    Then the upstream is not ejected

  # Guards against an upstream that gets new requests while its process stands still, as
  # the streams that it holds go on and end nothing.
  Scenario: An upstream whose process stands still is ejected while its requests go on
    When a request shows that the process stands still
    Then the upstream is ejected
    When 1 seconds pass
    Then a probe may be sent
    When a probe starts
    And the probe shows that the process stands still
    And 1.5 seconds pass
    Then the upstream is ejected
    And no probe may be sent
