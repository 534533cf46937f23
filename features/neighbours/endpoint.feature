Feature: Datagrams between instances over real sockets

  Scenario: A message of several datagrams arrives with its sender's address
    Given two endpoints on loopback
    When the first sends a message of 3000 random bytes to the second
    Then the second received it from the first

  Scenario: Datagrams that are no messages are ignored
    Given two endpoints on loopback
    When the second gets 50 datagrams of random bytes
    And the first sends a message of 10 random bytes to the second
    Then the second received it from the first

  Scenario: An address in use is told as an error of the listener
    Given two endpoints on loopback
    Then a third can't be opened at the first one's address
