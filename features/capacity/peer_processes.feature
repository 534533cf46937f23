Feature: Instances as processes whose home is paused or killed

  Background:
    Given 4 instances as processes before an upstream of 12 slots, asking for more
    And their common home grants to all

  Scenario: The home is paused and goes on
    When the home is paused for 3 s
    Then within 1 s of it each other instance has slots of its own share
    And within 3 s of the end of the pause all have slots of that home again
    And at most 24 slots were in use at any time
    And at most 12 slots were in use before the fault and from 2 s after its end

  Scenario: The home is killed
    When the home is killed
    Then within 3 s of it all others have slots of one other home
    And at most 24 slots were in use at any time
    And at most 12 slots were in use before the fault and from 2 s after its end
    And the new home grants the killed one's share to nobody while it is listed
