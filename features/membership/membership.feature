Feature: Any one source is enough to treat an instance or upstream as leaving

  Background:
    Given instance "a" of data centre "north" knows "b c" there and "x y z" in "south"

  Scenario Outline: An instance is not live once any one source says that it is leaving
    When <source> that "b" is leaving
    Then "b" is not among the live instances
    Examples:
      | source                 |
      | the list shows         |
      | a heartbeat of "b" says |

  Scenario: An incarnation can't take back that it is leaving
    When a heartbeat of "b" says that "b" is leaving
    And a heartbeat of "b" says that "b" is staying
    Then "b" is not among the live instances

  Scenario: A restarted instance overrides the list's entry for its previous incarnation
    When the list shows that "b" is leaving
    And "b" identifies itself with a higher incarnation
    Then "b" is among the live instances
    When the list shows that "b" is leaving
    Then "b" is among the live instances

  Scenario: The list counts again once it has shown the new incarnation as staying
    When the list shows that "b" is leaving
    And "b" identifies itself with a higher incarnation
    And the list shows that "b" is staying
    And the list shows that "b" is leaving
    Then "b" is not among the live instances

  Scenario: A previous incarnation is refused
    When "b" identifies itself with a higher incarnation
    Then "b" with its previous incarnation is refused

  Scenario: A silent instance is not live after 1.5 s, but stays known while it is listed
    When the list shows that "b" is staying
    And 1.5 s pass without a frame from "b"
    Then "b" is not among the live instances
    And "b" is among the known instances

  Scenario: An instance that has no connection and is not listed is not known
    When the list shows that "c" is staying
    And the connection with "b" ends
    Then "b" is not among the known instances

  Scenario: A list that contains only this instance counts as a list
    When the connection with "b" ends
    Then "b" is among the known instances
    When the list shows only this instance
    Then "b" is not among the known instances

  Scenario: Without a list an instance stays known for 60 s, and a seed keeps its session
    When the connection with "b" ends
    And 59 s pass without a frame from "b"
    Then "b" is among the known instances
    When 1 s pass without a frame from "b"
    And members that no source has named lately are dropped
    Then "b" is not among the known instances
    And "a" has sessions with "b c" and with 2 of "x y z"

  Scenario: An instance doesn't repeat a peer's report of a leaving upstream
    When "b" says that upstream "u" is leaving
    Then upstream "u" is leaving
    But "a" doesn't report "u" to its peers
    When 10 s pass without a frame from "b"
    Then upstream "u" is not leaving

  Scenario: Only the upstream itself can take back its own report of leaving
    When upstream "u" says that it is leaving
    Then upstream "u" is leaving
    And "a" reports "u" to its peers
    When the list shows that "c" is staying
    Then upstream "u" is leaving
    When upstream "u" says that it is staying
    Then upstream "u" is not leaving

  Scenario: An instance has sessions with its whole data centre and 2 instances of each other one
    Then "a" has sessions with "b c" and with 2 of "x y z"

  Scenario: Removing a name changes the choice only for the keys that chose it
    Then for 200 keys the choice changes only for those of a removed name
