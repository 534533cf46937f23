Feature: An operator is told where a request would go now, and why

  # Guards against a preview that sends the request, or that changes where others go.
  Scenario: The upstream of a request is told and nothing is sent
    Given a site of 2 upstreams whose metrics are served
    When the way of a request is previewed 20 times
    Then each preview names an upstream and 2 candidates
    And no upstream got a request

  # Guards against a preview that names an upstream that may get nothing.
  Scenario: An upstream that leaves is told as excluded
    Given a site of 2 upstreams whose metrics are served
    When the first upstream is listed as leaving
    And the way of a request is previewed 5 times
    Then each preview names the second upstream
    And the first upstream is excluded as "leaving"

  Scenario Outline: A request that would be refused is told with the reason
    Given a site of 2 upstreams whose metrics are served
    When the way of a request <what> is previewed 1 times
    Then each preview tells the refusal "<reason>"

    Examples:
      | what            | reason          |
      | without a key   | authentication  |
      | without a route | unknown-service |

  # Guards against a malformed question that ends the process or its requests.
  Scenario Outline: A malformed question is answered with an error
    Given a site of 2 upstreams whose metrics are served
    When the question <body> is sent
    Then the answer has the status 400
    And a request is still previewed

    Examples:
      | body                                |
      | {                                   |
      | []                                  |
      | {"method": 1, "target": "/x"}       |
      | {"method": "GET", "target": "x"}    |
      | {"method": "GET", "target": "/x", "headers": {"a": 3}} |

  Scenario: The command prints the way of a request
    Given a site of 2 upstreams whose metrics are served
    When the command previews a request
    Then it ends with 0 and prints the upstream and 2 candidates
