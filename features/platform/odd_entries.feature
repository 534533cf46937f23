Feature: An odd entry of another writer neither ends nor stops an instance

  # Guards against instances that end again and again, or stop following the list, because of
  # one entry among those of the upstreams, or in another table that they read.
  Scenario Outline: Odd entries stand in the table <table>
    Given 2 instances that share what they read, and an upstream that answers correctly
    When odd entries are written to the table "<table>"
    And a further upstream is listed and the first one is removed
    Then all instances are running and no task of theirs has failed
    And a caller of each instance gets "done" from the further upstream

    Examples:
      | table     |
      | servers   |
      | crashes   |
      | instances |
      | op        |

  Scenario: Odd entries stand in the table when an instance starts
    Given 2 instances that share what they read, and an upstream that answers correctly
    When odd entries are written to the table "servers"
    And all instances are killed and started again
    And a further upstream is listed and the first one is removed
    Then all instances are running and no task of theirs has failed
    And a caller of each instance gets "done" from the further upstream

  # Guards against a message with an odd entry that ends the task of the instance that gets it.
  Scenario: Odd entries come from another instance
    Then each odd entry that another instance sends is used or left out
