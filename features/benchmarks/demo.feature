Feature: Demo

  Scenario: The demo reports the work of both users and exits
    When the demo runs with 2 s of load
    Then the demo exits with code 0
    And the tables name each class, the goodput and the wasted work
    And no submission was executed more than once
    And no process of the demo is left running

  Scenario: The demo can be interrupted
    Given the demo has started its instances
    When the demo receives a SIGINT
    Then the demo exits with code 130
    And no process of the demo is left running
