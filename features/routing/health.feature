Feature: Crashed and silent upstreams are ejected and probed back

  Scenario: Two failed connections in a row eject an upstream for a second
    When requests end as "connect-failed connect-failed"
    Then the upstream is ejected
    And no probe may be sent
    When 1 seconds pass
    Then a probe may be sent

  Scenario: Silence weighs as much as a failed connection
    When requests end as "silent lost"
    Then the upstream is ejected

  Scenario: Errors eject an upstream after three in a row
    When requests end as "error error"
    Then the upstream is not ejected
    When requests end as "error"
    Then the upstream is ejected

  Scenario: A success between failures keeps an upstream in
    When requests end as "error error completed error error"
    Then the upstream is not ejected

  Scenario: Refused and cancelled requests tell nothing
    When requests end as "refused cancelled refused cancelled refused"
    Then the upstream is not ejected

  Scenario: Each failed probe doubles the time to the next, up to a bound
    When requests end as "error error error"
    Then failed probes follow after "1 2 4 8 16 30 30" seconds

  Scenario: A good probe lets the upstream back
    When requests end as "error error error"
    And 1 seconds pass
    And a probe ends as "completed"
    Then the upstream is not ejected
    When requests end as "error error"
    Then the upstream is not ejected

  Scenario: What started before the ejection doesn't let the upstream back
    When requests end as "error error error completed"
    Then the upstream is ejected

  Scenario: A probe that goes on well lets the upstream back before it ends
    When requests end as "silent silent"
    And 1 seconds pass
    And a probe starts
    Then the upstream is ejected
    And no probe may be sent
    When 5 seconds pass
    Then the upstream is not ejected
