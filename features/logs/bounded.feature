Feature: The log is bounded and never blocks

  Scenario: A burst beyond the allowance is dropped and counted
    Given an output that takes everything
    When 2500 lines are written at once
    And a line is written 1 s later
    Then 2001 lines came and the last but one tells that 500 were dropped

  Scenario: An output that takes nothing holds a bounded part
    Given an output that takes nothing
    When 1500 lines of 1000 bytes are written at once
    Then no more than 262144 bytes wait

  Scenario: An output that takes a few bytes at a time loses none
    Given an output that takes 7 bytes at a time
    When 10 lines are written at once
    Then 10 lines came
