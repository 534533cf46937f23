Feature: Slot allocation by coordinators

  Background:
    Given instances "a b c" and an upstream with 6 slots whose coordinator is "a"

  Scenario: The requests of all instances are granted from one slot allocation
    When each instance requests 3 slots
    Then the number of held slots is 6 and of waiting requests 3
    When "b" releases a slot
    Then the number of held slots is 6 and of waiting requests 2
    And the number of slots in use at "a" is 6

  Scenario: A cancelled request does not take a slot at the coordinator
    When each instance requests 2 slots
    And "b" requests 1 slot(s)
    And the last request is cancelled
    And "c" releases a slot
    Then the number of slots in use at "a" is 5

  Scenario: A coordinator that shuts down is replaced after its heartbeat announces the shutdown
    When each instance requests 2 slots
    And "a" announces its shutdown
    Then an instance other than "a" becomes the coordinator
    And the number of slots in use at the new coordinator is 6
    When "b" requests 1 slot(s)
    Then the number of held slots is 6 and of waiting requests 1
    When "c" releases a slot
    Then the number of held slots is 6 and of waiting requests 0

  Scenario: The new coordinator rebuilds the slot allocation of a lost coordinator from the holders' reports
    When "b" requests 3 slot(s)
    And "c" requests 2 slot(s)
    And "a" stops without an announcement
    Then an instance other than "a" becomes the coordinator
    And the number of slots in use at the new coordinator is 5
    And the new coordinator grants at most 4 of 6 slots until "a" is removed from the membership

  Scenario: Requests that wait at a lost coordinator are queued at the new coordinator
    When "b" requests 7 slot(s)
    And "a" stops without an announcement
    Then an instance other than "a" becomes the coordinator
    When "b" releases 6 slots
    Then every request of "b" has been granted a slot

  Scenario: The former slots of a restarted instance are free at once
    When "b" requests 6 slot(s)
    And "b" restarts
    And "c" requests 6 slot(s)
    Then "c" holds 6 slots

  Scenario: A coordinator that does not answer is replaced by the fallback share until it answers
    When "a" stops answering requests
    And "b" requests 1 slot(s)
    Then "b" is granted a slot of its fallback share
    When "a" answers requests again
    Then "b" gets its slots from "a" again
    And the number of slots in use at "a" is 1

  Scenario Outline: A grant is used only while it is recent and its request still waits
    When "a" stops answering requests
    And "b" has just requested a slot
    And a grant that is <age_s> s old arrives for <submission>
    Then the grant is <outcome>

    Examples:
      | age_s | submission           | outcome            |
      | 0.9   | that request         | used               |
      | 1.1   | that request         | released           |
      | 0.1   | a request taken back | released           |

  Scenario: No instance grants slots of an upstream that reports that it is leaving
    When the upstream reports that it is leaving
    Then all instances know within 2 s that the upstream is leaving
    When "c" requests 1 slot(s)
    Then the last request is refused with "no-upstream"

  Scenario: All instances learn of an upstream that is drained at one instance
    When "b" drains the upstream
    Then all instances know within 2 s that the upstream is leaving

  Scenario: No instance grants slots of an upstream while a record drains it
    When a record drains the upstream
    Then all instances know within 2 s that the upstream is leaving
    When "c" requests 1 slot(s)
    Then the last request is refused with "no-upstream"
    When the drain record is deleted
    Then all instances know within 2 s that the upstream is not leaving

  Scenario: A peer provides its changes, its traces and its revision
    Then "b" fetches the changes of "a" after revision 1
    And "b" fetches the trace "r1" of "a"
    And "b" has seen revision 3 at "a"

  Scenario: Operators see instances and upstreams
    When "b" requests 2 slot(s)
    Then "a" lists 3 live instances
    And "a" lists 2 of 6 slots in use
