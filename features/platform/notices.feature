Feature: The log tells what upstreams state about themselves

  Scenario: A limit that an upstream names, changes and withdraws is logged
    Given a site whose upstream names the limits "30.5,20.0,-" in turn
    When callers send 40 idempotent requests a second for 2 s
    Then the program logged the limits "30.5,20.0" and a withdrawal

  Scenario: What another process states at the upstream's address is ignored
    Given a site whose upstream is another process that names a limit and reports a load
    And another upstream that answers correctly
    When 12 callers send idempotent requests
    Then each caller gets "done"
    And the program logged no limit, and no load of the first upstream

  Scenario Outline: A limit that is not a number of requests is ignored
    Given a site whose upstream names the limits "<value>" in turn
    When 4 callers send idempotent requests
    Then each caller gets "done"
    And the program logged "upstream-notice-rejected" once

    Examples: value
      | value                |
      | nan                  |
      | inf                  |
      | -1                   |
      | 1e30                 |
      | three                |
      | 999999999999999999.5 |
