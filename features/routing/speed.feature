Feature: What was seen of an upstream goes before what it reports

  Scenario: A slowing upstream shows in its observed latency
    Given the group takes 0.1 seconds to a first token
    When an upstream takes 0.4 seconds to a first token 20 times
    Then its latency is estimated as 0.4 seconds

  Scenario: What was seen long ago fades into what is typical
    Given the group takes 0.1 seconds to a first token
    When an upstream takes 0.4 seconds to a first token 20 times
    And 300 seconds go by
    Then its latency is estimated as 0.1 seconds

  Scenario: An upstream not seen yet is taken as typical
    Given the group takes 0.1 seconds to a first token
    Then its latency is estimated as 0.1 seconds

  Scenario Outline: A report adds only what others run
    Given this account ran <own> requests since 1 seconds
    When the upstream reports <running> running and <waiting> waiting
    Then others run <others> there

    Examples:
      | own | running | waiting | others |
      | 3   | 3       | 0       | 0      |
      | 3   | 5       | 2       | 4      |
      | 3   | 1       | 0       | 0      |

  Scenario: A late report is compared with what ran at its time
    Given this account ran 6 requests since 20 seconds
    And this account ran 1 requests since 3 seconds
    When the upstream reports 6 running and 0 waiting 10 seconds late
    Then others run 0 there

  Scenario: An old report is worth nothing
    Given this account ran 0 requests since 20 seconds
    When the upstream reports 5 running and 0 waiting
    And 15 seconds go by
    Then others run 0 there
