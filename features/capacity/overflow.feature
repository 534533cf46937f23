Feature: Slots in another data centre

  Background:
    Given instances "a b" in "north" with 2 slots and "x y" in "south" with 4 slots

  Scenario: A request gets a slot where the wait is shorter, and the slot is released there
    When "a" uses all slots of its data centre and 3 more requests wait
    And "a" requests 1 more slot
    Then the last request gets a slot in "south" within 3 s
    And the number of slots in use in "south" is 1
    When the last slot is released
    Then the number of slots in use in "south" is 0

  Scenario: A request stays in its own data centre while slots are free there
    When "a" requests 1 more slot
    Then the last request gets a slot in "north" within 3 s

  Scenario: A cancelled request is withdrawn from the other data centre
    When "a" uses all slots of its data centre and 3 more requests wait
    And "x" uses all slots of its data centre and 0 more requests wait
    And "a" has requested 1 slot in "south" and waits for it
    And the request to the other data centre is cancelled
    Then no request of "a" is left in "south"

  Scenario: Slots of a requester that restarts are released
    When "a" has requested 1 slot in "south" and holds it
    And the instance "a" restarts
    Then the number of slots in use in "south" is 0

  Scenario: A request returns to its own data centre when the other one is unreachable
    When "a" uses all slots of its data centre and 3 more requests wait
    And "south" becomes unreachable while "a" waits for 1 slot there
    Then the request ends without a slot in the other data centre within 3 s

  Scenario: A request that waits too long in the other data centre returns to its own
    When "x" uses all slots of its data centre and 0 more requests wait
    And "a" waits for a slot in "south" for at most 0.3 s
    Then the request ends without a slot in the other data centre within 3 s
    And no request of "a" is left in "south"
