Feature: Random events leak no slots

  Scenario Outline: Restarts, shutdowns, new records, an unresponsive coordinator, blocked event loops
    When 4 instances run for 4 s with random events from seed <seed>
    Then every request has been answered
    And within 8 s no slot or request is left on any instance

    Examples:
      | seed |
      | 2    |
