Feature: What the experiment reads from a run

  Scenario: The longest wait of a queue counts while some wait and none begins
    Given streams that came at 0, 1 and 10 s and began at 2, 9 and 10.5 s
    Then the longest wait is 7 s
    When another came at 3 s and was refused at 30 s
    Then the longest wait is 19.5 s

  Scenario: Work that left a silent engine
    Given an engine that fell silent with 2 queries and a draft in progress
    When one query and the draft came to another engine 2 s and 9 s later
    Then 1 of 2 upper requests moved, the longest after 2 s
    And of all 2 of 3 moved, the longest after 9 s
    And new work stopped after 0.5 s

  Scenario: A deployment's reference has one queue before all upstreams
    Then the reference of each deployment has one instance and all its engines

  Scenario Outline: Wrong settings are refused
    Then the experiment with "<option>" ends with exit code 2 and names "<name>"

    Examples:
      | option           | name       |
      | --runs=other     | other      |
      | --duration-s=5   | duration_s |
      | --deployment=sea | deployment |
