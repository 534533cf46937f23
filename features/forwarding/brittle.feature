Feature: Upstreams that end when they have to turn many requests away

  A brittle upstream says how many requests a second it can turn away for want of room. A
  while later it lets none wait, and ends when it has to turn away more. Instances know each
  upstream's load only from the responses that they get.

  # Guards against bursts, and retries of them, that are sent to full upstreams.
  Scenario Outline: All instances together leave brittle upstreams running
    Given <instances> instances before <upstreams> brittle upstreams of <slots> slots that bear <bound> rejections a second
    When <rate> requests a second come for <seconds> s
    Then at most 2 and a tenth of the upstreams' number ended
    And at least <share> in 100 of what the upstreams could run were run

    Examples: sizes and loads
      | instances | upstreams | slots | bound | rate | seconds | share |
      | 7         | 9         | 48    | 10    | 900  | 12      | 90    |
      | 7         | 9         | 48    | 10    | 1800 | 12      | 60    |
      | 7         | 3         | 6     | 4     | 100  | 20      | 50    |
      | 7         | 3         | 6     | 2     | 300  | 20      | 30    |
      | 60        | 30        | 12    | 10    | 1500 | 8       | 50    |
      | 195       | 37        | 12    | 10    | 1500 | 8       | 50    |
      | 195       | 37        | 12    | 4     | 3000 | 8       | 30    |

  # Guards against a rule that spares upstreams which are not brittle, or not full.
  Scenario Outline: Upstreams that are not brittle get what they got before
    Given <instances> instances before <upstreams> upstreams of <slots> slots that are not brittle
    When <rate> requests a second come for 8 s
    Then nothing is refused

    Examples: sizes and loads
      | instances | upstreams | slots | rate |
      | 7         | 9         | 48    | 900  |
      | 195       | 37        | 48    | 1000 |

  Scenario: Brittle upstreams with room get all requests
    Given 7 instances before 9 brittle upstreams of 48 slots that bear 10 rejections a second
    When 600 requests a second come for 12 s
    Then nothing is refused
    And at most 2 and a tenth of the upstreams' number ended

  # Guards against upstreams that are spared for ever.
  Scenario: Upstreams that are no longer brittle get their requests again
    Given 7 instances before 3 brittle upstreams of 6 slots that bear 2 rejections a second
    When 300 requests a second come for 8 s
    And the upstreams are no longer brittle
    And 20 requests a second come for 12 s
    Then nothing is refused in the last 4 s
