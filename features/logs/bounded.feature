Feature: The log is bounded and never blocks

  Scenario: Lines beyond the allowed burst are dropped and counted
    Given an output that accepts everything
    When 2500 lines are written at once
    And a line is written 1 s later
    Then 2001 lines were output and the line before the last reports 500 dropped lines

  Scenario: Lines for an output that accepts nothing are buffered up to a bound
    Given an output that accepts nothing
    When 1500 lines of 1000 bytes are written at once
    Then no more than 262144 bytes are buffered

  Scenario: No line is lost on an output that accepts a few bytes at a time
    Given an output that accepts 7 bytes at a time
    When 10 lines are written at once
    Then 10 lines were output
