Feature: Long prompts run apart from short ones (task assignment by size)

  Scenario: A calm load keeps two of five upstreams for short prompts
    Given 5 upstreams and 3 long and 5 short requests for 10 s
    Then 2 upstreams are kept for short prompts
    And long and short prompts share no upstream

  Scenario: A burst of long prompts gets more upstreams
    Given 9 upstreams and 60 long and 10 short requests for 10 s
    Then at most 2 upstreams are kept for short prompts

  Scenario: A burst of short prompts gets more upstreams
    Given 9 upstreams and 2 long and 120 short requests for 10 s
    Then at least 6 upstreams are kept for short prompts

  Scenario: Each kind always has an upstream
    Given 2 upstreams and 500 long and 0 short requests for 10 s
    Then 1 upstreams are kept for short prompts

  Scenario: A small change moves nothing
    Given 9 upstreams and 3 long and 5 short requests for 10 s
    When 1 long request begins and 3 s pass
    Then the boundary has not moved

  Scenario: Instances that see other parts of the load agree but for the boundary
    Given 9 upstreams and 3 long and 5 short requests for 10 s
    And another instance with 5 long and 5 short requests for 10 s
    Then one's upstreams for short prompts hold the other's

  Scenario: A long queue doesn't take the last upstreams of short prompts
    Given 20 upstreams and 900 long and 10 short requests for 10 s
    Then 5 upstreams are kept for short prompts
