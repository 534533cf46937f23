Feature: The earliest news of leaving wins

  Background:
    Given instance "a" of data centre "north" knows "b c" there and "x y z" in "south"

  Scenario Outline: Any one source takes an instance out
    When <source> that "b" is leaving
    Then "b" is not among the live instances
    Examples:
      | source                 |
      | the list shows         |
      | a heartbeat of "b" says |

  Scenario: Leaving is final for an incarnation
    When a heartbeat of "b" says that "b" is leaving
    And a heartbeat of "b" says that "b" is staying
    Then "b" is not among the live instances

  Scenario: A restarted instance overrides a stale entry of the list
    When the list shows that "b" is leaving
    And "b" is met again with a higher incarnation
    Then "b" is among the live instances
    When the list shows that "b" is leaving
    Then "b" is among the live instances

  Scenario: The list counts again once it has shown the new incarnation as staying
    When the list shows that "b" is leaving
    And "b" is met again with a higher incarnation
    And the list shows that "b" is staying
    And the list shows that "b" is leaving
    Then "b" is not among the live instances

  Scenario: A remainder of a former incarnation is refused
    When "b" is met again with a higher incarnation
    Then "b" with its former incarnation is refused

  Scenario: A silent instance is lost within 1.5 s, yet still counted while listed
    When the list shows that "b" is staying
    And 1.5 s pass without a word of "b"
    Then "b" is not among the live instances
    And "b" is among the known instances

  Scenario: An instance that the list drops and nobody hears is not counted
    When the list shows that "c" is staying
    And "b" is lost
    Then "b" is not among the known instances

  Scenario: A list of this instance alone counts as a list
    When "b" is lost
    Then "b" is among the known instances
    When the list shows this instance alone
    Then "b" is not among the known instances

  Scenario: Without a list an instance counts for 60 s, and a seed keeps its link
    When "b" is lost
    And 59 s pass without a word of "b"
    Then "b" is among the known instances
    When 1 s pass without a word of "b"
    And the members are looked over
    Then "b" is not among the known instances
    And "a" has links to "b c" and to 2 of "x y z"

  Scenario: An upstream's leaving is told on first-hand only
    When "b" says that upstream "u" is leaving
    Then upstream "u" is leaving
    But "a" tells nobody of "u"
    When 10 s pass without a word of "b"
    Then upstream "u" is not leaving

  Scenario: What an upstream says of itself is taken back by itself alone
    When upstream "u" says that it is leaving
    Then upstream "u" is leaving
    And "a" tells its peers of "u"
    When the list shows that "c" is staying
    Then upstream "u" is leaving
    When upstream "u" says that it is staying
    Then upstream "u" is not leaving

  Scenario: Links lead to the whole own data centre and to 2 of each other one
    Then "a" has links to "b c" and to 2 of "x y z"

  Scenario: Losing one name moves no key that it did not hold
    Then for 200 keys only those of a lost name move
