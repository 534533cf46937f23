Feature: The account's invariants hold whatever happens

  Scenario: Random arrivals, ends, failures, changes and time keep every invariant
    When pools are driven at random
    Then no invariant was violated
    And every pool was driven to its end
