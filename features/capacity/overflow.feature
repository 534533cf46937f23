Feature: Slots of another data centre

  Background:
    Given instances "a b" in "north" with 2 slots and "x y" in "south" with 4 slots

  Scenario: A request goes where it waits less, and its slot is given back there
    When "a" has filled its own data centre and 3 requests wait
    And "a" asks for 1 more slot
    Then the last request has a slot in "south" within 3 s
    And 1 slots are in use in "south"
    When the last slot is given back
    Then 0 slots are in use in "south"

  Scenario: A request stays where slots are free
    When "a" asks for 1 more slot
    Then the last request has a slot in "north" within 3 s

  Scenario: A caller that leaves withdraws its request elsewhere
    When "a" has filled its own data centre and 3 requests wait
    And "x" has filled its own data centre and 0 requests wait
    And "a" has gone to "south" for 1 slot, which waits there
    And the waiting caller leaves
    Then nothing of "a" is left in "south"

  Scenario: Slots of a requester that restarts are given back
    When "a" has gone to "south" for 1 slot, which it holds
    And the instance "a" restarts
    Then 0 slots are in use in "south"

  Scenario: Without the other data centre a request is served at home
    When "a" has filled its own data centre and 3 requests wait
    And "south" is cut off while "a" has gone there for 1 slot, which waits
    Then that request has no slot elsewhere within 3 s

  Scenario: A request that waits too long elsewhere comes back
    When "x" has filled its own data centre and 0 requests wait
    And "a" waits in "south" for at most 0.3 s
    Then that request has no slot elsewhere within 3 s
    And nothing of "a" is left in "south"
