Feature: Invariants

  Scenario: An invariant that holds records no violation
    When an invariant "sum-holds" that holds is checked
    Then "sum-holds" has 0 violations

  Scenario: In production a violation is counted and logged, and the process continues
    When a program violates "slots-in-bound" with 17 slots while violations are not fatal
    Then the program exits with code 0
    And its log has one line with "event=invariant-violated name=slots-in-bound slots=17"
    And its last output line is "{'slots-in-bound': 1}"

  Scenario: Under test a violation ends the process with a dedicated exit code
    When a program violates "slots-in-bound" with 17 slots while violations are fatal
    Then the program exits with code 70
    And its log has one line with "event=invariant-violated name=slots-in-bound slots=17"
