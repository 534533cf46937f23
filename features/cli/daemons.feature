Feature: Command-line tool with running daemons

  Scenario: A change through one instance takes effect at the other
    Given two daemons that use the same stand-in for the platform
    And the record files of docs/RECORDS.md
    When "apply new.toml old.toml" is run against the first daemon
    Then the command exits with 0 and prints "accepted at revision 1"
    And "status" against the second daemon prints "revision              1" within 4 s
    When "drain engine-1" is run against the second daemon
    Then the command exits with 0 and prints "engine-1 gets no new work"
    And "get drain" against the first daemon prints "engine-1" within 4 s
    When "drain --undo engine-1" is run against the first daemon
    Then the command exits with 0 and prints "engine-1 gets work again"
    And "status" against the second daemon prints "revision              3" within 4 s
    When "instances" is run against the first daemon
    Then the command exits with 0 and prints "a2"
