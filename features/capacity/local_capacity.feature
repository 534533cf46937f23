Feature: Slots on one instance alone

  Background:
    Given one instance before an upstream of 2 slots

  Scenario: A request beyond the slots waits for one to be given back
    When 3 requests ask for a slot
    Then 2 of them hold a slot
    When a slot is given back
    Then 3 of them hold a slot

  Scenario: A request whose caller left takes no slot
    When 3 requests ask for a slot
    And the waiting request is cancelled
    And a slot is given back
    Then 1 slots are in use

  Scenario: A request is refused at its deadline
    When 2 requests ask for a slot
    And a request with a deadline in 0.05 s asks for a slot
    Then it is refused with "deadline-passed"

  Scenario: A model that no upstream serves is refused at once
    When a request for model "unheard" asks for a slot
    Then it is refused with "no-upstream"

  Scenario: Closing refuses what waits
    When 3 requests ask for a slot
    And the capacity is closed
    Then the waiting request is refused with "shutting-down"

  Scenario: A slot given back twice counts once
    When 3 requests ask for a slot
    And the first slot is given back twice
    Then 2 slots are in use

  Scenario: Closing in the turn in which a slot is given back ends
    When 2 requests ask for a slot
    And a slot is given back and the capacity closed in one turn
    Then the capacity has ended its tasks
