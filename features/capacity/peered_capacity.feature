Feature: Slots divided by home instances

  Background:
    Given instances "a b c" before an upstream of 6 slots with home "a"

  Scenario: All instances are granted slots from one account
    When each instance asks for 3 slots
    Then 6 slots are held and 3 requests wait
    When "b" gives a slot back
    Then 6 slots are held and 2 requests wait
    And 6 slots are in use at "a"

  Scenario: A request whose caller left takes no slot at the home
    When each instance asks for 2 slots
    And "b" asks for 1 slots
    And the last request is cancelled
    And "c" gives a slot back
    Then 5 slots are in use at "a"

  Scenario: A home that leaves as planned hands over by its heartbeat
    When each instance asks for 2 slots
    And "a" begins to leave
    Then the home moves away from "a"
    And 6 slots are in use at the new home
    When "b" asks for 1 slots
    Then 6 slots are held and 1 requests wait
    When "c" gives a slot back
    Then 6 slots are held and 0 requests wait

  Scenario: A home that is lost is rebuilt from what holders report
    When "b" asks for 3 slots
    And "c" asks for 2 slots
    And "a" is lost
    Then the home moves away from "a"
    And 5 slots are in use at the new home
    And the new home grants at most 4 of 6 slots until "a" is known to be gone

  Scenario: Requests that wait at a lost home are queued at the next one
    When "b" asks for 7 slots
    And "a" is lost
    Then the home moves away from "a"
    When "b" gives 6 slots back
    Then every request of "b" has held a slot

  Scenario: A restarted instance's former slots are free at once
    When "b" asks for 6 slots
    And "b" restarts
    And "c" asks for 6 slots
    Then "c" holds 6 slots

  Scenario: A home that doesn't answer is passed over, and used again later
    When "a" stops answering requests
    And "b" asks for 1 slots
    Then "b" is granted a slot of its own share
    When "a" answers requests again
    Then "b" gets its slots of "a" again
    And 1 slots are in use at "a"

  Scenario Outline: A grant is used once, by the submission it is for, while it is fresh
    When "a" stops answering requests
    And "b" has just asked for a slot
    And a grant that is <age_s> s old comes for <submission>
    Then the grant is <fate>

    Examples:
      | age_s | submission           | fate               |
      | 0.9   | that request         | used               |
      | 1.1   | that request         | released           |
      | 0.1   | a request taken back | released           |

  Scenario: An upstream that reports its leaving gets nothing new from anyone
    When the upstream reports that it is leaving
    Then all instances know within 2 s that it is leaving
    When "c" asks for 1 slots
    Then the last request is refused with "no-upstream"

  Scenario: An upstream drained at one instance gets nothing new from anyone
    When "b" drains the upstream
    Then all instances know within 2 s that it is leaving

  Scenario: An upstream drained by a record gets nothing new until it is deleted
    When a record drains the upstream
    Then all instances know within 2 s that it is leaving
    When "c" asks for 1 slots
    Then the last request is refused with "no-upstream"
    When the drain's record is deleted
    Then all instances know within 2 s that it is not leaving

  Scenario: A peer gives its changes and traces, and tells its revision
    Then "b" fetches the changes of "a" after revision 1
    And "b" fetches the trace "r1" of "a"
    And "b" has seen revision 3 at "a"

  Scenario: Operators see instances and upstreams
    When "b" asks for 2 slots
    Then "a" lists 3 live instances
    And "a" lists 2 of 6 slots in use
