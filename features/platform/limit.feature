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

  # Guards against a share of the limit for each instance that was replaced: one of 61.
  Scenario: The entries of sixty instances that are gone are listed
    Given a site with the entries of 60 instances that are gone, whose upstream names the limits "25.0" in turn
    When 5 s pass
    And callers send 60 idempotent requests a second for 6 s
    Then the first upstream received no more than its limit of 25 a second allows
    And callers get "done" for at least half of what the limit of 25 a second allows in 6 s
