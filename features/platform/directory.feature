Feature: The instances of all data centres can be counted in the platform's store

  Scenario: Each instance is counted once, however often it starts
    Given a site without a program
    When the instances "edge-a-1,edge-a-2,edge-b-1,edge-a-1" are added
    Then 3 instances are counted

  # Guards against an entry that an earlier release can't read, and the other way round.
  Scenario: An entry tells the start of its process
    Given a site without a program
    When the instance "edge-a-1" is added with the start "0123456789abcdef"
    Then one instance at "10.0.0.1:7340" is listed with the start "0123456789abcdef"

  Scenario Outline: The entry of an earlier release tells no start
    Given a site without a program
    When the object "<name>" is added
    Then one instance at "10.0.0.1:7340" is listed with the start "unknown"

    Examples:
      | name                            |
      | instance-edge-a-1@a@10.0.0.1:7340  |
      | instance-edge~a-1@a@10.0.0.1:7340  |

  Scenario: More instances than one response lists are counted
    Given a site without a program
    When 1205 instances are added
    Then 1205 instances are counted

  Scenario: A store that doesn't answer is told as an error of the source
    Given a site without a program
    When the store is unavailable
    Then counting fails with a source error

  Scenario: A program adds itself, and again after the store was restored from a copy
    Given a site whose upstream answers correctly
    And a copy of the store without instances
    When 0.5 s pass
    Then 1 instance is counted
    When the copy of the store is restored
    And 6 s pass
    Then 1 instance is counted

  # Guards against entries that stay for good after each planned stop.
  Scenario: A program that is stopped removes its entry, and no other one
    Given a site whose upstream answers correctly
    When 0.5 s pass
    And the instance "edge-a-9" is added with the start "0123456789abcdef"
    Then 2 instances are counted
    When the program is stopped, and has ended
    Then one instance at "10.0.0.1:7340" is listed with the start "0123456789abcdef"
