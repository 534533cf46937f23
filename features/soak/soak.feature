Feature: A short randomised run over processes holds every rule

  Scenario: Nine instances in three data centres under drawn faults
    When the randomised run of seed 1 sends requests for 8 s
    Then no rule is broken
    And more than 100 requests were answered and 8 faults carried out
    And none of its processes is left
