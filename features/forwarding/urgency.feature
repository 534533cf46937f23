Feature: Which long prompts are spared while others are refused

  Scenario Outline: A long prompt is spared while most recent ones are less urgent
    Given long prompts came with the tiers <tiers>
    Then a long prompt of tier <tier> is <verdict>

    Examples: tiers
      | tiers           | tier | verdict    |
      | 1,2,2,2         | 1    | spared     |
      | 1,2,2,2         | 2    | not spared |
      | 1,1,1,2         | 1    | not spared |
      | 2,2,9           | 2    | not spared |

  # Guards against urgent prompts that are spared for less urgent ones of long ago.
  Scenario: Prompts of long ago don't count
    Given long prompts came with the tiers 2,2,2,2
    When 40 s pass and long prompts come with the tiers 1,1
    Then a long prompt of tier 1 is not spared

  # Guards against urgent prompts that are refused because short prompts' upstreams are full.
  Scenario: While the short prompts' upstreams are full the less urgent long prompts go
    Given 9 upstreams, those for short prompts full, and most long prompts of tier 2
    Then a long prompt of tier 1 is granted
    And a long prompt of tier 2 is refused
