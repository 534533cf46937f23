Feature: No page goes stale

  Scenario: Each link between pages leads somewhere
    Then each relative link of each page names a file

  Scenario: Each command of make that a page names exists
    Then each "make TARGET" in a page is a target of the Makefile

  Scenario: Each program that a page runs exists
    Then each "python -m MODULE" in a page names a module of the project

  Scenario: The examples are valid
    Then the example's settings are valid
    And the example's records are valid

  Scenario: A newcomer's first request is answered
    Given the stand-in and the daemon of the README, on free ports
    When the README's request is sent
    Then its outcome is "completed"
    And the README's status command answers
