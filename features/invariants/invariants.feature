Feature: Invariants

  Scenario: An invariant that holds leaves nothing behind
    When an invariant "sum-holds" that holds is checked
    Then "sum-holds" has 0 violations

  Scenario: In production a violation is counted and logged, and the process lives
    When a program violates "slots-in-bound" with 17 slots, not fatally
    Then it ends with code 0
    And its log has one line with "event=invariant-violated name=slots-in-bound slots=17"
    And its last output line is "{'slots-in-bound': 1}"

  Scenario: Under test a violation ends the process with its own code
    When a program violates "slots-in-bound" with 17 slots, fatally
    Then it ends with code 70
    And its log has one line with "event=invariant-violated name=slots-in-bound slots=17"
