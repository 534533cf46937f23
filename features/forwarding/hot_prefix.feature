Feature: Many short prompts share one prefix (hot key)

  The upstream that has the prefix cached fills up, and urgent requests that are placed
  there wait, while the other upstreams of the service have free slots and begin less
  urgent requests. The bound is that of the platform's rule on urgent requests: at most
  one in twelve.

  # Guards against urgent requests that wait on a full upstream for the sake of its cache.
  Scenario: A prefix does not place a request on a full upstream
    Given 5 upstream with 48 slots that reports 10 running and 0 waiting requests
    And the first upstream of a prefix reports 48 running and 12 waiting requests
    When a short request with that prefix is made
    Then the request is granted on another upstream

  Scenario: A prefix keeps its upstream while a tenth of its slots is free
    Given 5 upstream with 48 slots that reports 10 running and 0 waiting requests
    And the first upstream of a prefix reports 43 running and 0 waiting requests
    When a short request with that prefix is made
    Then the request is granted on the first upstream of the prefix

  Scenario: A prefix leaves the last slots to requests that are not reported yet
    Given 5 upstream with 48 slots that reports 10 running and 0 waiting requests
    And the first upstream of a prefix reports 44 running and 0 waiting requests
    When a short request with that prefix is made
    Then the request is granted on another upstream

  Scenario: The least loaded upstream is used when all are full
    Given 5 upstream with 48 slots that reports 60 running and 0 waiting requests
    And the first upstream of a prefix reports 80 running and 12 waiting requests
    When a short request with that prefix is made
    Then the request is granted on another upstream

  Scenario Outline: A hot prefix does not make requests wait while slots are free
    Given <instances> instances that send short prompts to <engines> engines of <slots> slots
    When <share> of 100 prompts have the same prefix and the engines for them are <fill> of 100 full
    Then at most 1 in 12 of them wait while another engine for them has a free slot

    Examples: site
      | instances | engines | slots | share | fill |
      | 7         | 9       | 48    | 28    | 80   |
      | 7         | 5       | 48    | 60    | 70   |
      | 60        | 45      | 24    | 28    | 60   |
