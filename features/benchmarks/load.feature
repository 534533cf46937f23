Feature: Load plans and measures

  Scenario: The seed determines the plan
    Then two plans with seed 1 are equal and a plan with seed 2 differs

  Scenario: A burst requests the planned multiple of the capacity
    When a burst of 3 times 500 tokens/s is planned for 400 s
    Then the tokens requested per second are within 15% of 1500

  Scenario Outline: A stream is correct only if it contains each event exactly once
    Given the stream of a response <change>
    Then the recorded outcome is <outcome> and the response is <verdict>

    Examples:
      | change                      | outcome   | verdict |
      | as it should be             | completed | right   |
      | with its second event twice | completed | wrong   |
      | without its second event    | completed | wrong   |
      | without its end marker      | cut       | right   |

  Scenario: Attainment counts every offered request
    Given 4 requests: one within its targets, one late, one refused, one incorrect
    Then attainment is 25%, 33% of admitted requests, and 1 response is incorrect
    And tokens that are not part of a correct response are counted as wasted

  Scenario: Fairness is computed among teams whose demand was not met
    Then 10, 10 and 40 served tokens per weight give the index 0.667
    And a team whose demand was met does not lower the index
