Feature: Upstreams that say they are brittle are not sent more than they have room for

  # Guards against a program that doesn't read the statement.
  Scenario: The statement is read, and a full upstream is spared
    Given a site whose upstream states "Server-Brittle: 5" and a full load
    When callers send 40 idempotent requests a second for 4 s
    Then the program logged "upstreams-brittle" once
    And the first upstream received at most 30 requests
    And the callers get "done" or the status 503 within 0.3 s with times to come back

  Scenario Outline: A number that can't be read is ignored
    Given a site whose upstream states "Server-Brittle: <value>"
    When 4 callers send idempotent requests
    Then each caller gets "done"
    And the program logged "upstream-notice-rejected" once

    Examples: value
      | value |
      | -1    |
      | nan   |
      | five  |
