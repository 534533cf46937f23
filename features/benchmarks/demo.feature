Feature: The demo

  Scenario: It shows both users' work and ends by itself
    When the demo runs with 2 s of load
    Then it ends with exit code 0
    And its tables name each class, the goodput and the wasted work
    And no submission ran more than once
    And none of the demo's processes is left

  Scenario: It can be interrupted
    Given the demo has started its instances
    When it gets a SIGINT
    Then it ends with exit code 130
    And none of the demo's processes is left
