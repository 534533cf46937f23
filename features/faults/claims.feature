Feature: A keyed call runs at most once, at whichever instance

  Background:
    Given a platform and a plain service
    And two daemons in two data centres that share them

  Scenario: A repeat at another instance hears the recorded answer
    When a keyed submission is sent to the first daemon
    And the same submission is sent to the second daemon
    Then both are told the service's answer as completed
    And the service ran it 1 time

  Scenario: Repeats at once run once
    When a keyed submission is sent 6 times at once to both daemons
    Then all are told the service's answer as completed
    And the service ran it 1 time

  Scenario: A key that belongs to another request is refused
    When a keyed submission is sent to the first daemon
    And another submission with its key is sent to the second daemon
    Then the second is told "not-run" for "key-reused"
    And the service ran it 1 time

  Scenario: A submission goes on when its caller leaves
    When a keyed submission's caller leaves while it runs
    And the same submission is sent to the second daemon
    Then the second is told the service's answer as completed
    And the service ran it 1 time

  Scenario: Without the platform nothing keyed is sent, and the rest goes on
    When the platform is down
    And a keyed submission is sent to the first daemon
    Then the first is told "unknown" for "platform-unavailable"
    And a call without a key is told as completed
    And the service ran the keyed one 0 times

  Scenario: A repeat while the platform is down is not told that it did not run
    When a keyed submission is sent to the first daemon
    And the platform is down
    And the same submission is sent to the second daemon
    Then the second is told "unknown" for "platform-unavailable"
    And the service ran it 1 time

  Scenario: A lost reply of the platform is settled by reading back
    When the platform loses every reply to a write
    And a keyed submission is sent to the first daemon
    Then the first is told the service's answer as completed
    And the service ran it 1 time
