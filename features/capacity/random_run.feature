Feature: A random run leaks no slot

  Scenario Outline: Restarts, planned stops, new records, a deaf home and stalls
    When 4 instances run for 4 s with the random events of seed <seed>
    Then every request was answered
    And within 8 s no slot or request is left anywhere

    Examples:
      | seed |
      | 2    |
