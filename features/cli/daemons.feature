Feature: The tool and running daemons

  Scenario: What is changed at one instance is in force at the other
    Given two daemons that share the platform's stand-in
    And an operator's files
    When "apply new.toml old.toml" is run at the first
    Then it ends with 0 and prints "accepted at revision 1"
    And "status" at the second prints "revision              1" within 4 s
    When "drain engine-1" is run at the second
    Then it ends with 0 and prints "engine-1 gets no new work"
    And "get drain" at the first prints "engine-1" within 4 s
    When "drain --undo engine-1" is run at the first
    Then it ends with 0 and prints "engine-1 gets work again"
    And "status" at the second prints "revision              3" within 4 s
    When "instances" is run at the first
    Then it ends with 0 and prints "a2"
