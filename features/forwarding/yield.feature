Feature: Long prompts give way where too many wait (load shedding by priority)

  Scenario: A long prompt is refused while the one upstream is full
    Given 1 upstream with 48 slots that tells of 40 running and 15 waiting requests
    When a long request asks for a slot
    Then it is refused as "queue-full" and told to come back

  Scenario: A short prompt is not
    Given 1 upstream with 48 slots that tells of 40 running and 15 waiting requests
    When a short request asks for a slot
    Then it is granted

  Scenario: A long prompt is served while places stand free
    Given 1 upstream with 48 slots that tells of 10 running and 0 waiting requests
    When a long request asks for a slot
    Then it is granted

  Scenario: With two upstreams long and short prompts run apart
    Given 2 upstream with 48 slots that tells of 40 running and 15 waiting requests
    When a long request asks for a slot
    Then it is granted

  Scenario: A long prompt is refused where it would leave before its turn
    Given 2 upstream with 16 slots that tells of 16 running and 5 waiting requests
    When a long request asks for a slot
    Then it is refused as "queue-full" and told to come back

  Scenario: A short prompt is served beside such a queue
    Given 2 upstream with 16 slots that tells of 16 running and 5 waiting requests
    When a short request asks for a slot
    Then it is granted
