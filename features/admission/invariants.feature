Feature: The invariants of a pool hold under random events

  Scenario: Every invariant holds under random arrivals, completions, failures and changes
    When random events are applied to pools
    Then no invariant was violated
    And every random run was completed
