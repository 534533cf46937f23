Feature: The relay between two processes

  Background:
    Given an echo server behind a relay

  Scenario: Bytes pass both ways
    Then an echo of "a" comes back

  Scenario: A cut refuses new connections and resets old ones
    Given an open connection through the relay
    When the relay is set to "cut"
    Then the open connection is reset
    And a new connection is refused
    When the relay is set to "forward"
    Then an echo of "b" comes back

  Scenario Outline: A held direction delivers when the hold ends
    Given an open connection through the relay
    When the relay is set to "<mode>"
    Then an echo of "c" does not come back on the open connection
    And <arrived> bytes reached the echo server
    When the relay is set to "forward"
    Then the echo of "c" comes back on the open connection

    Examples:
      | mode             | arrived |
      | hold             | 0       |
      | hold-to-target   | 0       |
      | hold-from-target | 1       |

  Scenario: Silenced connections stay silent while new ones work
    Given an open connection through the relay
    When the relay's connections are silenced
    Then an echo of "d" does not come back on the open connection
    And an echo of "e" comes back

  Scenario: Bytes are delayed each way
    When the relay's delay is 0.05 s
    Then an echo of "f" takes at least 0.1 s
