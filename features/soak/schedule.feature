Feature: The seed alone determines the faults of a randomised run

  Scenario: Equal seeds draw equal faults, and different seeds draw different faults
    Then seed 7 draws the same faults twice, and seed 8 draws different faults

  Scenario: All kinds of faults are drawn in the middle of a run, some at once and some twice
    Given the faults that seeds 1 to 20 draw for 100 s
    Then each kind is drawn for each seed
    And no fault begins in the first tenth or ends in the last tenth
    And some faults begin at the same time, and some are repeated at one target
    And no process has a fault before its earlier fault has ended
    And each fault has a target that its kind applies to
    And each pause lasts 1 to 30 s
