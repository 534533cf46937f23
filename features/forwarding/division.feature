Feature: Long and short prompts run on different upstreams (size-based task assignment)

  Scenario: A light load reserves two of five upstreams for short prompts
    Given 5 upstreams and 3 long and 5 short requests for 10 s
    Then 2 upstreams are reserved for short prompts
    And long and short prompts share no upstream

  Scenario: A burst of long prompts gets more upstreams
    Given 9 upstreams and 60 long and 10 short requests for 10 s
    Then at most 2 upstreams are reserved for short prompts

  Scenario: A burst of short prompts gets more upstreams
    Given 9 upstreams and 2 long and 120 short requests for 10 s
    Then at least 6 upstreams are reserved for short prompts

  Scenario: Long prompts and short prompts always have at least one upstream each
    Given 2 upstreams and 500 long and 0 short requests for 10 s
    Then 1 upstreams are reserved for short prompts

  Scenario: A small change of the load doesn't move the boundary
    Given 9 upstreams and 3 long and 5 short requests for 10 s
    When 1 long request begins and 3 s pass
    Then the boundary has not moved

  Scenario: Divisions of instances that see different loads differ only at the boundary
    Given 9 upstreams and 3 long and 5 short requests for 10 s
    And another instance with 5 long and 5 short requests for 10 s
    Then the upstreams for short prompts of one instance include those of the other

  Scenario: A long queue of long prompts leaves upstreams for short prompts
    Given 20 upstreams and 900 long and 10 short requests for 10 s
    Then 5 upstreams are reserved for short prompts

  Scenario: A queue of long prompts doesn't take the slots that short prompts need
    Given 9 upstreams and 900 long and 120 short requests for 10 s
    Then at least 5 upstreams are reserved for short prompts
