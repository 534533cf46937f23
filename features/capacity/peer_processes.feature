Feature: Instances as separate processes whose coordinator is paused or killed

  Background:
    Given 4 instance processes that request more than the 12 slots of an upstream
    And their common coordinator grants slots to all of them

  Scenario: The coordinator is paused and resumed
    When the coordinator is paused for 3 s
    Then within 1 s of the fault each other instance has slots of its fallback share
    And within 3 s of the end of the pause all instances have slots of that coordinator again
    And at most 24 slots were in use at any time
    And at most 12 slots were in use before the fault and from 2 s after its end

  Scenario: The coordinator is killed
    When the coordinator is killed
    Then within 3 s of the fault all other instances have slots of one new coordinator
    And at most 24 slots were in use at any time
    And at most 12 slots were in use before the fault and from 2 s after its end
    And the new coordinator does not grant the killed instance's share while that is listed
