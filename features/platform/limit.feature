Feature: An upstream that names a limit gets no more than it accepts

  # Guards against a program that reads no limits: the upstream got its usual load.
  Scenario: The limit of one upstream is kept while the other one serves
    Given a site whose upstream names the limits "2.0" in turn
    And another upstream that answers correctly
    When callers send 30 idempotent requests a second for 9 s
    Then each caller gets "done"
    And the first upstream received no more than its limit of 2 a second allows

  Scenario: Callers are refused at once while the only upstream is at its limit
    Given a site whose upstream names the limits "1.0" in turn
    When callers send 20 idempotent requests a second for 9 s
    Then the first upstream received no more than its limit of 1 a second allows
    And some callers get "done", and the others the status 503 within 0.3 s with Retry-After
