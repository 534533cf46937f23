Feature: The pages match the project

  Scenario: Each link between pages is valid
    Then each relative link of each page names an existing file

  Scenario: Each make target that a page names exists
    Then each "make TARGET" in a page is a target of the Makefile

  Scenario: Each program that a page runs exists
    Then each "python -m MODULE" in a page names a module of the project

  Scenario: The example files are valid
    Then the example settings are valid
    And the example records are valid

  Scenario: The first request of the README is answered
    Given the stand-in and the daemon of the README, on free ports
    When the first request of the README is sent
    Then the outcome in the response is "completed"
    And the status command of the README succeeds
