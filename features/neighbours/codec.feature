Feature: Messages between neighbours as datagrams

  Scenario: Each message arrives as it was sent, whatever the order of its datagrams
    Then random messages are decoded as they were encoded

  # Guards against instances of two releases that don't understand each other.
  Scenario: The versions in a message don't concern earlier releases
    Then a message without versions has the fields that earlier releases know
    And an answer of an earlier release, which has no versions, is decoded without them

  Scenario: A page that is too large for a message is not sent
    Given a message with an item of 100000 random bytes
    Then it can't be sent

  Scenario: Damaged datagrams are rejected with an error of this layer
    Then random bytes, and valid datagrams with changed bytes, never cause another error

  Scenario: Incomplete messages are kept only for a short time
    Given a message of which one datagram is missing
    When the missing datagram arrives 3 s later
    Then no message is complete
    And at most 64 incomplete messages are kept after 1000 of them
