Feature: A short randomised run of real processes breaks no rule

  Scenario: Nine instances in three data centres under drawn faults
    When the randomised run of seed 1 sends requests for 8 s
    Then no rule is broken
    And more than 100 requests were answered and at least 8 faults injected
    And none of the run's processes is left running
