Feature: Committed changes of the records are applied once at every instance
  A change is one transaction of the table service. A committed change is never
  lost, applied twice or reverted, even if replies of the platform are lost or
  writes take effect late.

  Scenario Outline: Concurrent changes are neither lost nor applied twice
    Given a platform with faults in <share> of its writes, and seed <seed>
    When 4 operators at 3 instances submit changes concurrently in schema versions 1 and 2
    Then every accepted change is applied exactly once at every instance
    And the revision of no instance ever decreased

    Examples:
      | share | seed |
      | 0.0   | 1    |
      | 0.3   | 2    |
      | 0.6   | 3    |

  Scenario: Concurrent changes are neither lost nor applied twice over a lossy connection
    Given the platform stand-in over HTTP, which loses 0.3 of its replies
    When 4 operators at 3 instances submit changes concurrently in schema versions 1 and 2
    Then every accepted change is applied exactly once at every instance
    And the revision of no instance ever decreased

  Scenario Outline: A change is committed once after a write with the fault <fault>
    Given a platform
    And the next write has the fault <fault>
    When an operator puts team "a" with weight 1
    Then the change is accepted at revision 1
    And the platform holds 1 change

    Examples:
      | fault      |
      | reply lost |
      | late       |
      | refused    |

  Scenario: A request repeated after another operator's change has no effect
    Given a platform
    When an operator puts team "a" with weight 1 and change id "first"
    And an operator puts team "a" with weight 2
    And an operator at another instance puts team "a" with weight 1 and change id "first"
    Then the change is accepted at revision 1
    And team "a" has weight 2
    And the platform holds 2 changes

  Scenario: A change id can't be reused for another change
    Given a platform
    When an operator puts team "a" with weight 1 and change id "first"
    And an operator puts team "a" with weight 3 and change id "first"
    Then the change is refused with reason "change-id-reused"
    And team "a" has weight 1

  Scenario: A concurrent change of another record is not a conflict
    Given a platform
    And another instance puts team "b" with weight 5 just before the next write
    When an operator puts team "a" with weight 1
    Then the change is accepted at revision 2
    And team "b" has weight 5

  Scenario: A concurrent change of the same record is a conflict that shows both versions
    Given a platform
    And another instance puts team "a" with weight 5 just before the next write
    When an operator puts team "a" with weight 1
    Then there is a conflict on team "a" between weight 5 in force and requested weight 1
    And team "a" has weight 5

  Scenario: An unchanged record in a request does not revert a concurrent change
    Given a platform
    When an operator puts team "a" with weight 1
    And another instance puts team "a" with weight 5 just before the next write
    And an operator puts teams "a" and "b" with weights 1 and 2
    Then there is a conflict on team "a" between weight 5 in force and requested weight 1

  Scenario: A stated record revision must match even if the record has the requested content
    Given a platform
    When an operator puts team "a" with weight 1
    And an operator puts team "a" with weight 1 edited from record revision 0
    Then there is a conflict on team "a" between weight 1 in force and requested weight 1

  Scenario Outline: An edit based on an old revision is a conflict
    Given a platform
    When an operator puts team "a" with weight 1
    And an operator puts team "a" with weight 2
    And an operator puts team "a" with weight 3 edited from <base>
    Then there is a conflict on team "a" between weight 2 in force and requested weight 3

    Examples:
      | base              |
      | revision 1        |
      | record revision 1 |
      | record revision 0 |

  Scenario: The revision of a deleted record does not restart
    Given a platform
    When an operator puts team "a" with weight 1
    And an operator deletes team "a"
    And an operator puts team "a" with weight 3 edited from record revision 0
    Then there is a conflict on team "a" between nothing in force and requested weight 3

  Scenario: An invalid change has no effect
    Given a platform
    When an operator deletes team "a"
    Then the change is invalid
    And the platform holds 0 changes

  Scenario: The records in force stay unchanged while the platform is down
    Given a platform
    When an operator puts team "a" with weight 1
    And the platform goes down
    And an operator puts team "a" with weight 2
    Then the change is refused with reason "platform-unavailable"
    And team "a" has weight 1

  Scenario: A change whose outcome can't be determined is refused as unsettled
    Given a platform
    And the platform goes down after the next write
    When an operator puts team "a" with weight 1 and change id "first"
    Then the change is refused with reason "unsettled"
    When the platform is up again
    And an operator puts team "a" with weight 1 and change id "first"
    Then the change is accepted at revision 1
    And the platform holds 1 change

  Scenario: A new instance starts from the stored snapshot
    Given a platform with 13 changes and a snapshot every 5 changes
    When the rows of changes 1 to 9 are deleted and a new instance polls
    Then the new instance has the same records and revisions in force

  Scenario: A new instance catches up despite damaged snapshots
    Given a platform with 13 changes and a snapshot every 5 changes
    And the stored snapshots are damaged
    When a new instance polls
    Then the new instance has the same records and revisions in force

  Scenario: Peers send each other missing changes
    Given a platform with 13 changes and a snapshot every 5 changes
    Then a peer at any revision catches up, even with repeated or reordered changes

  Scenario: Invalid entries from a peer never lower the revision
    Given a platform with 13 changes and a snapshot every 5 changes
    Then 200 generated or altered entries from a peer never lower the revision
