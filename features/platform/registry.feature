Feature: The instances of a data centre find each other in the platform's store

  Scenario: The list of a data centre holds its registered instances and no others
    Given a site without a program
    When the instances "10.0.0.1:7000,10.0.0.2:7000" of the data centre "north" register
    And the instances "10.0.0.3:7000" of the data centre "south" register
    And the instances "10.0.0.1:7000" of the data centre "north" register
    Then the registered instances of "north" are "10.0.0.1:7000,10.0.0.2:7000"

  # Guards against taking an instance of an earlier release, or another writer's row, for
  # one that tells its start.
  Scenario Outline: The row of an instance tells its start
    Given a site without a program
    When the instance "10.0.0.1:7000" of the data centre "north" registers as "<start>"
    Then the instance "10.0.0.1:7000" of "north" is registered as "<read>"

    Examples:
      | start            | read             |
      | 0123456789abcdef | 0123456789abcdef |
      | other            | unknown          |

  # Guards against a late removal of an instance that has started again at its address.
  Scenario Outline: An entry is removed unless its instance has registered again
    Given a site without a program
    When the instance "10.0.0.1:7000" of the data centre "north" registers as "0123456789abcdef"
    And its entry is read, it registers again <times> times, and the entry is removed
    Then <left> instances are registered in "north"

    Examples:
      | times | left |
      | 0     | 0    |
      | 1     | 1    |

  Scenario: A store that doesn't answer is told as an error of the source
    Given a site without a program
    When the store is unavailable
    Then registering fails with a source error
