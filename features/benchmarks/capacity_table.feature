Feature: Capacity table

  Scenario: The command reports each slope, its spread and its value at the target size
    When the capacity table is measured
    Then each slope lies between the smallest and the largest of its fits
    And no target size exceeds the largest measured size
    And the predicted size of a list of 4440 entries is within 5% of its real size
