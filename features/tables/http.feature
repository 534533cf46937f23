Feature: The HTTP client of the platform

  Background:
    Given the platform stand-in and an HTTP client of it

  Scenario: A transaction over HTTP is applied atomically
    When the client writes "a" with expected version 0
    Then the client reads "a" at version 1
    When the client inserts "b" and "a" in one transaction
    Then the client gets ConflictError
    And the client finds no row "b"

  Scenario: A row is deleted only if it has the expected version
    When the client writes "a" with expected version 0
    And the client deletes "a" with expected version 2
    Then the client gets ConflictError
    When the client deletes "a" with expected version 1
    Then the client finds no row "a"

  Scenario: Objects and rows store arbitrary bytes unchanged
    Then an object and a row with all 256 byte values are read back

  Scenario: The error in an outage guarantees that the write had no effect
    When the platform has the faults {"is_down": true}
    And the client writes "a" with expected version 0
    Then the client gets PlatformUnavailableError
    When the platform has the faults {}
    Then the client finds no row "a"

  Scenario: After a lost reply, a read shows that the write took effect
    When the platform has the faults {"lost_reply_ratio": 1}
    And the client writes "a" with expected version 0
    Then the client gets ReplyLostError
    And the client reads "a" at version 1

  Scenario: The outcome of a write that times out is unknown
    When the platform has the faults {"is_silent": true}
    And the client writes "a" with expected version 0
    Then the client gets ReplyLostError
    When the platform has the faults {}
    Then the client reads "a" at version 1

  Scenario: A write to an unreachable platform has no effect
    When the platform stops
    And the client writes "a" with expected version 0
    Then the client gets PlatformUnavailableError

  Scenario: A write above the rate limit is reported to have had no effect
    When the platform has the faults {"writes_per_s": 1}
    And the client writes "a" with expected version 0
    And the client writes "b" with expected version 0
    Then the client gets PlatformUnavailableError

  Scenario: The instance list lags behind the published one
    Given the instance list "i-1" published at 0 s and "i-1, i-2" at 5 s
    Then the list with a lag of 2 s is "i-1" at 6 s and "i-1, i-2" at 7 s

  Scenario: The client reads the published instance list
    When the instance list "i-1, i-2" is published
    Then the client reads the instance list "i-1, i-2"
