Feature: A stream goes on at another upstream only once the one before has let go of it

  # Guards against a stream that two upstreams work on at once: its process stands still,
  # is reached, and learns only later that its connection was closed (TWICE).
  Scenario Outline: One upstream stands still
    Given a site of 3 instances and 3 upstreams, which may repeat 600 requests in 10 s
    And routes that allow 9 s for a response
    When each instance forwards 8 streams that may be resumed
    And one upstream is stopped for <seconds> s
    Then all callers got their streams whole
    And no stream was held by two upstreams for more than 0.4 s

    Examples: seconds
      | seconds |
      | 0.9     |
      | 2.2     |
      | 3.5     |

  # Guards against streams that wait at an upstream which works, but not on them.
  Scenario: One upstream sends no events, although its process works
    Given a site of 3 instances and 3 upstreams, which may repeat 600 requests in 10 s
    And a further upstream that sends no events
    When each instance forwards 8 streams that may be resumed
    Then all callers got their streams whole
    And the streams of the further upstream have arrived twice
    And no stream was held by two upstreams for more than 0.4 s
