Feature: Outcomes

  Scenario: The set of outcomes is fixed
    When the outcomes are listed
    Then the outcomes are "completed, not-run, failed, unknown"
