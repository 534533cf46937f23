Feature: The observed latency and load of an upstream take precedence over its reports

  Scenario: The observed latency follows an upstream that becomes slow
    Given the group takes 0.1 seconds to a first token
    When an upstream takes 0.4 seconds to a first token 20 times
    Then its latency is estimated as 0.4 seconds

  Scenario: The estimate returns to the group's latency when the observations are old
    Given the group takes 0.1 seconds to a first token
    When an upstream takes 0.4 seconds to a first token 20 times
    And 300 seconds elapse
    Then its latency is estimated as 0.1 seconds

  Scenario: An upstream without observations is estimated at the group's latency
    Given the group takes 0.1 seconds to a first token
    Then its latency is estimated as 0.1 seconds

  Scenario Outline: A report adds only the requests of other holders
    Given this slot allocation has run <own> requests for 1 seconds
    When the upstream reports <running> running and <waiting> waiting
    Then other holders run <others> requests on the upstream

    Examples:
      | own | running | waiting | others |
      | 3   | 3       | 0       | 0      |
      | 3   | 5       | 2       | 4      |
      | 3   | 1       | 0       | 0      |

  Scenario: A late report is compared with the requests that ran at its time
    Given this slot allocation has run 6 requests for 20 seconds
    And this slot allocation has run 1 requests for 3 seconds
    When the upstream reports 6 running and 0 waiting 10 seconds late
    Then other holders run 0 requests on the upstream

  Scenario: An old report is ignored
    Given this slot allocation has run 0 requests for 20 seconds
    When the upstream reports 5 running and 0 waiting
    And 15 seconds elapse
    Then other holders run 0 requests on the upstream
