Feature: The load and its measures

  Scenario: A seed fixes the load
    Then two plans of seed 1 are equal and one of seed 2 differs

  Scenario: A burst offers the planned multiple of the capacity
    When a burst of 3 times 500 tokens/s is planned for 400 s
    Then the tokens asked for in a second are within 15% of 1500

  Scenario Outline: A stream is right only when it is whole and each event came once
    Given the stream of an answer <change>
    Then it is told as <outcome> and its answer is <verdict>

    Examples:
      | change                      | outcome   | verdict |
      | as it should be             | completed | right   |
      | with its second event twice | completed | wrong   |
      | without its second event    | completed | wrong   |
      | without its end marker      | cut       | right   |

  Scenario: Attainment counts every offered request
    Given 4 requests: one in its targets, one late, one refused, one wrong
    Then attainment is 25%, 33% of those admitted, and 1 answer is wrong
    And tokens that are not part of a right answer are wasted

  Scenario: Fairness is judged among teams that wanted more
    Then service by weight of 10, 10 and 40 gives the index 0.667
    And a team that got all it asked for does not lower the index
