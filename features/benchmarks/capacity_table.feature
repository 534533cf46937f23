Feature: The table of capacity

  Scenario: The command gives each slope with its spread and its value at the target
    When the capacity table is measured
    Then each of its slopes lies within its own spread
    And it extrapolates no further than the sizes that it names
    And a list of 4440 entries has the bytes that the table gives, within 5%
