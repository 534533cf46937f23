Feature: A connection tells the response to its request from copies of earlier ones

  # Guards against a copy that can't be told from the request's own response, as both
  # name the same request.
  Scenario: A request that comes again uses another connection
    Given an upstream that keeps its connections
    When requests a, b, a and c are sent one after the other
    Then they used connections 1, 1, 2 and 1

  # Guards against a response that is taken for a copy, or a copy for a response.
  Scenario Outline: Responses come before the own one
    Given an upstream that sends <first> before its second response
    When requests a and b are sent one after the other
    Then the second request has <result>

    Examples:
      | first                                     | result           |
      | a copy of the first response              | its own response |
      | 5 copies of the first response            | its own response |
      | a copy of 200000 bytes                    | its own response |
      | 40 copies of the first response           | lost             |
      | a copy of 3000000 bytes                   | lost             |
      | a copy without a length                   | lost             |
      | a response to a request that never came   | the wrong name   |

  Scenario: A silent upstream is found silent after a copy
    Given an upstream that sends a copy of the first response and nothing else
    When requests a and b are sent one after the other
    Then the second request found the upstream silent
