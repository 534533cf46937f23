Feature: Upstreams that name a limit (shared rate limit without messages)

  An upstream in need accepts a request rate from all instances together. Each instance
  reads the limit in the responses that it gets, and no message tells it what the others
  send.

  # Guards against instances that each send as if the limit were not there, or theirs alone.
  Scenario Outline: All instances together keep the limit
    Given <instances> instances before 9 upstreams, one of which names a limit of <limit> a second
    When <rate> requests a second arrive for 60 s
    Then the limit is kept

    Examples: steady load
      | instances | limit | rate |
      | 7         | 3.1   | 90   |
      | 7         | 0.4   | 200  |
      | 7         | 20    | 300  |
      | 60        | 4     | 400  |
      | 195       | 4     | 400  |
      | 195       | 1     | 900  |

  Scenario Outline: The limit is kept when requests come in bursts
    Given <instances> instances before 9 upstreams, one of which names a limit of <limit> a second
    When <rate> requests a second arrive in every other second for 60 s
    Then the limit is kept

    Examples: bursts
      | instances | limit | rate |
      | 7         | 3.1   | 200  |
      | 195       | 4     | 900  |

  Scenario: The limit is kept when all upstreams name one
    Given 7 instances before 3 upstreams, all of which name a limit of 4 a second
    When 60 requests a second arrive for 60 s
    Then the limits are kept
    And at least 6 requests a second are served
    And every other request is refused with a time to come back

  Scenario: A limit that changes with each response is kept
    Given 7 instances before 9 upstreams, one of which names a limit of 3 to 4 a second
    When 90 requests a second arrive for 60 s
    Then the limit is kept

  Scenario: An upstream that withdraws its limit gets its part of the requests again
    Given 7 instances before 9 upstreams, one of which names a limit of 3 a second
    When 90 requests a second arrive for 20 s
    And the limit is withdrawn
    And 90 requests a second arrive for 20 s
    Then the upstream gets at least 5 requests a second in the last 10 s

  Scenario: A limit of 0 is not obeyed for ever
    Given 7 instances before 9 upstreams, one of which names a limit of 0 a second
    When 90 requests a second arrive for 20 s
    And the limit is withdrawn
    And 90 requests a second arrive for 60 s
    Then the upstream gets at least 5 requests a second in the last 10 s

  Scenario: A new process under the same name owes nothing
    Given 7 instances before 9 upstreams, one of which names a limit of 0 a second
    When 90 requests a second arrive for 5 s
    And the upstream starts again under its name and names no limit
    And 90 requests a second arrive for 12 s
    Then the upstream gets at least 5 requests a second in the last 10 s
