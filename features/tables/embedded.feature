Feature: The embedded platform

  Scenario: A transaction is applied atomically
    Given an embedded platform with the row "a" at version 1
    When a transaction changes "a" at version 1 and inserts "b"
    Then both rows are written, "a" at version 2 and "b" at version 1
    When a transaction inserts "c" and changes "a" at version 1
    Then the transaction conflicts on "a" and "c" does not exist

  Scenario: A scan returns the rows after a key in key order
    Given an embedded platform with the row "a" at version 1
    When a transaction inserts "c" and then "b"
    Then a scan after "a" returns "b, c"
