Feature: Long prompts are refused on overloaded upstreams (load shedding)

  Scenario: A long prompt is refused while the only upstream is full
    Given 1 upstream with 48 slots that reports 40 running and 15 waiting requests
    When a long request is made
    Then the request is refused as "queue-full" with a time to retry

  Scenario: A short prompt is served while the only upstream is full
    Given 1 upstream with 48 slots that reports 40 running and 15 waiting requests
    When a short request is made
    Then the request is granted

  Scenario: A long prompt is served while the only upstream has free slots
    Given 1 upstream with 48 slots that reports 10 running and 0 waiting requests
    When a long request is made
    Then the request is granted

  Scenario: With two upstreams the upstream for long prompts accepts a higher load
    Given 2 upstream with 48 slots that reports 40 running and 0 waiting requests
    And the upstream for long prompts reports 40 running and 15 waiting requests
    When a long request is made
    Then the request is granted

  Scenario: A long prompt is refused when its caller would give up before it starts
    Given 2 upstream with 16 slots that reports 16 running and 5 waiting requests
    When a long request is made
    Then the request is refused as "queue-full" with a time to retry

  Scenario: A short prompt is served at a load at which long prompts are refused
    Given 2 upstream with 16 slots that reports 16 running and 5 waiting requests
    When a short request is made
    Then the request is granted

  Scenario: A short prompt uses a slot of the other upstreams while its own are full
    Given 2 upstream with 48 slots that reports 10 running and 0 waiting requests
    And the upstream for short prompts reports 48 running and 20 waiting requests
    When a short request is made
    Then the request is granted on the upstream for long prompts

  Scenario: A short prompt stays on its own upstreams while one has a free slot
    Given 2 upstream with 48 slots that reports 10 running and 0 waiting requests
    And the upstream for short prompts reports 46 running and 0 waiting requests
    When a short request is made
    Then the request is granted on the upstream for short prompts

  Scenario: A long prompt is refused while short prompts wait for a slot
    Given 2 upstream with 48 slots that reports 10 running and 0 waiting requests
    And the upstream for short prompts reports 48 running and 20 waiting requests
    When a long request is made
    Then the request is refused as "queue-full" with a time to retry

  Scenario: The log tells why a long prompt was refused
    Given 2 upstream with 48 slots that reports 10 running and 0 waiting requests
    And the upstream for short prompts reports 48 running and 20 waiting requests
    When a long request is made
    Then the line "long-prompt-refused" tells "is_short_full=True"

  Scenario: A short prompt leaves its upstreams when they queue more than they have free
    Given 5 upstream with 48 slots that reports 40 running and 0 waiting requests
    And the upstreams for short prompts report 44 and 60 running requests
    When a short request is made
    Then the request is granted on an upstream for long prompts
