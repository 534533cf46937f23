Feature: The TCP relay between two processes

  Background:
    Given an echo server behind a relay

  Scenario: Bytes are relayed in both directions
    Then an echo of "a" is received

  Scenario: A cut route refuses new connections and resets existing ones
    Given an open connection through the relay
    When the relay is set to "cut"
    Then the open connection is reset
    And a new connection is refused
    When the relay is set to "forward"
    Then an echo of "b" is received

  Scenario Outline: Bytes of a held direction are delivered when the hold ends
    Given an open connection through the relay
    When the relay is set to "<mode>"
    Then an echo of "c" is not received on the open connection
    And <arrived> bytes reached the echo server
    When the relay is set to "forward"
    Then the echo of "c" is received on the open connection

    Examples:
      | mode             | arrived |
      | hold             | 0       |
      | hold-to-target   | 0       |
      | hold-from-target | 1       |

  Scenario: Silenced connections stay silent while new connections work
    Given an open connection through the relay
    When the relay's connections are silenced
    Then an echo of "d" is not received on the open connection
    And an echo of "e" is received

  Scenario: Bytes are delayed in each direction
    When the relay's delay is set to 0.05 s
    Then an echo of "f" takes at least 0.1 s
