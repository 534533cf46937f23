Feature: A connection tells the response to its request from copies of earlier ones

  # Guards against a copy that can't be told from the request's own response, as both
  # name the same request.
  Scenario: A request that comes again uses another connection
    Given an upstream that keeps its connections
    When requests a, b, a and c are sent one after the other
    Then they used connections 1, 1, 2 and 1
