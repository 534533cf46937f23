Feature: The seed alone fixes the faults of a randomised run

  Scenario: Equal seeds draw equal faults, others draw others
    Then seed 7 draws the same faults twice, and seed 8 others

  Scenario: All kinds are drawn within the middle of a run, together and twice
    Given the faults that seeds 1 to 20 draw for 100 s
    Then each kind is drawn for each seed
    And none begins in the first or ends after the last tenth
    And some begin together, and some come twice at one target
    And no process is struck while an earlier fault of it lasts
    And each target is one that its kind can strike
    And a pause lasts 1 to 30 s
