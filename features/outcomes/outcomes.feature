Feature: Outcomes

  Scenario: The set of outcomes is closed
    When the outcomes are listed
    Then they are "completed, not-run, failed, unknown"
