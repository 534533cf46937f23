Feature: The platform over HTTP

  Background:
    Given the platform's stand-in and a client of it

  Scenario: A transaction over HTTP is applied at once or not at all
    When the client writes "a" at version 0
    Then the client reads "a" at version 1
    When the client inserts "b" together with "a"
    Then the client gets ConflictError
    And the client reads no "b"

  Scenario: A row is deleted at its version only
    When the client writes "a" at version 0
    And the client deletes "a" at version 2
    Then the client gets ConflictError
    When the client deletes "a" at version 1
    Then the client reads no "a"

  Scenario: Objects and rows of any bytes come back as they were
    Then an object and a row of all 256 bytes are read back

  Scenario: An outage proves that nothing took effect
    When the platform has the faults {"is_down": true}
    And the client writes "a" at version 0
    Then the client gets PlatformUnavailableError
    When the platform has the faults {}
    Then the client reads no "a"

  Scenario: A lost reply is settled by reading back
    When the platform has the faults {"lost_reply_ratio": 1}
    And the client writes "a" at version 0
    Then the client gets ReplyLostError
    And the client reads "a" at version 1

  Scenario: No reply in time to a write leaves it unknown
    When the platform has the faults {"is_silent": true}
    And the client writes "a" at version 0
    Then the client gets ReplyLostError
    When the platform has the faults {}
    Then the client reads "a" at version 1

  Scenario: A platform that can't be reached took nothing
    When the platform ends
    And the client writes "a" at version 0
    Then the client gets PlatformUnavailableError

  Scenario: The write limit is told with proof that nothing took effect
    When the platform has the faults {"writes_per_s": 1}
    And the client writes "a" at version 0
    And the client writes "b" at version 0
    Then the client gets PlatformUnavailableError

  Scenario: The instance list lags
    Given the instance list "i-1" published at 0 s and "i-1, i-2" at 5 s
    Then the list with a lag of 2 s is "i-1" at 6 s and "i-1, i-2" at 7 s

  Scenario: The published list is read by the client
    When the instance list "i-1, i-2" is published
    Then the client lists "i-1, i-2"
