Feature: Slot allocation on a single instance

  Background:
    Given one instance and an upstream with 2 slots

  Scenario: A request waits for a slot while all slots are in use
    When 3 requests for a slot are made
    Then 2 of the requests hold a slot
    When a slot is released
    Then 3 of the requests hold a slot

  Scenario: A cancelled request does not take a slot
    When 3 requests for a slot are made
    And the waiting request is cancelled
    And a slot is released
    Then the number of slots in use is 1

  Scenario: A request is refused at its deadline
    When 2 requests for a slot are made
    And a request with a deadline in 0.05 s is made
    Then the request is refused with "deadline-passed"

  Scenario: A request for a model that no upstream serves is refused at once
    When a request for model "unheard" is made
    Then the request is refused with "no-upstream"

  Scenario: Closing the instance refuses the waiting requests
    When 3 requests for a slot are made
    And the instance is closed
    Then the waiting request is refused with "shutting-down"

  Scenario: A slot that is released twice is counted once
    When 3 requests for a slot are made
    And the first slot is released twice
    Then the number of slots in use is 2

  Scenario: Closing in the same event loop iteration as a release ends all tasks
    When 2 requests for a slot are made
    And a slot is released and the instance closed in one event loop iteration
    Then all tasks of the instance have ended
