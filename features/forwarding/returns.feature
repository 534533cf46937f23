Feature: Callers that are refused for want of room return when there is room again

  # Guards against callers that return while the shortage that they were refused for goes
  # on, and are refused again.
  Scenario Outline: The longer a shortage has lasted, the later its callers return
    Given requests were refused each 0.5 s for <lasted> s
    When 200 callers with <left> s left are refused
    Then they return between <first> s and <last> s

    Examples:
      | lasted | left | first | last |
      | 0      | 10   | 0.8   | 1.4  |
      | 0.5    | 10   | 0.8   | 1.4  |
      | 2      | 10   | 1.6   | 2.8  |
      | 9      | 30   | 5.4   | 8.4  |

  # Guards against times to come back that callers don't accept.
  Scenario Outline: No caller is told more than it can wait
    Given requests were refused each 0.5 s for 9 s
    When 200 callers with <left> s left are refused
    Then they return between <first> s and <last> s

    Examples:
      | left | first | last  |
      | 8    | 1.45  | 2.24  |
      | 2    | 0.36  | 0.56  |
      | 0    | 0     | 0     |

  # Guards against a herd of returning callers that causes the next shortage.
  Scenario: Callers that are refused together don't return together
    Given requests were refused each 0.5 s for 4 s
    When 200 callers with 12 s left are refused
    Then in no tenth of the time between the first and the last do more than 20 of 100 return

  # Guards against less urgent callers that return before the more urgent ones.
  Scenario: The more urgent callers return first
    Given requests were refused each 0.5 s for 3 s
    When 200 callers with 30 s left are refused, half of them urgent
    Then the urgent ones return at least 0.8 s earlier in the mean

  # Guards against a shortage of long ago that delays callers.
  Scenario: A shortage that has ended is forgotten
    Given requests were refused each 0.5 s for 9 s
    When nothing is refused for 3 s
    And 200 callers with 10 s left are refused
    Then they return between 0.8 s and 1.4 s
