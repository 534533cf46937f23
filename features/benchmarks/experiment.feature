Feature: Measurements of the experiment

  Scenario: The longest wait is the longest time in which streams wait and none starts
    Given streams that arrived at 0, 1 and 10 s and started at 2, 9 and 10.5 s
    Then the longest wait is 7 s
    When another stream arrived at 3 s and was refused at 30 s
    Then the longest wait is 19.5 s

  Scenario: Requests are diverted from a silent engine
    Given an engine that held or received 2 queries and a draft while it was silent
    When another engine received one query and the draft 2 s and 9 s later
    Then 1 of 2 upper-tier requests moved, the slowest in 2 s
    And 2 of 3 requests of all tiers moved, the slowest in 9 s
    And the silent engine received its last request after 0.5 s

  Scenario: The reference of a deployment has a single queue for all upstreams
    Then each deployment's reference has one instance and all engines of the deployment

  Scenario Outline: Invalid settings are refused
    Then the experiment with "<option>" exits with code 2 and an error naming "<name>"

    Examples:
      | option           | name       |
      | --runs=other     | other      |
      | --duration-s=5   | duration_s |
      | --deployment=sea | deployment |
