Feature: Changes of the records reach every instance, once, and stay
  A change is one transaction of the table service. It is never lost, made
  twice or taken back, whatever becomes of the platform's replies.

  Scenario Outline: Racing operators lose nothing and double nothing
    Given a platform that fails <share> of its writes, seed <seed>
    When 4 operators at 3 instances race with schema versions 1 and 2
    Then every accepted change is in force once at every instance
    And no instance's revision ever fell

    Examples:
      | share | seed |
      | 0.0   | 1    |
      | 0.3   | 2    |
      | 0.6   | 3    |

  Scenario: Racing operators lose nothing over a connection that loses replies
    Given the platform's stand-in over HTTP, losing 0.3 of its replies
    When 4 operators at 3 instances race with schema versions 1 and 2
    Then every accepted change is in force once at every instance
    And no instance's revision ever fell

  Scenario Outline: A reply that is <fault> is settled by reading back
    Given a platform
    And the next write is <fault>
    When an operator puts team "a" with weight 1
    Then the change is accepted at revision 1
    And the platform holds 1 change

    Examples:
      | fault      |
      | reply lost |
      | late       |
      | refused    |

  Scenario: A repeat long after another operator's change does nothing
    Given a platform
    When an operator puts team "a" with weight 1 under id "first"
    And an operator puts team "a" with weight 2
    And an operator at another instance puts team "a" with weight 1 under id "first"
    Then the change is accepted at revision 1
    And team "a" has weight 2
    And the platform holds 2 changes

  Scenario: An id stands for one change only
    Given a platform
    When an operator puts team "a" with weight 1 under id "first"
    And an operator puts team "a" with weight 3 under id "first"
    Then the change is refused for "change-id-reused"
    And team "a" has weight 1

  Scenario: A change of another record in between is no conflict
    Given a platform
    And another instance puts team "b" with weight 5 just before the next write
    When an operator puts team "a" with weight 1
    Then the change is accepted at revision 2
    And team "b" has weight 5

  Scenario: A change of the same record in between is a conflict with both sides
    Given a platform
    And another instance puts team "a" with weight 5 just before the next write
    When an operator puts team "a" with weight 1
    Then there is a conflict on team "a" between weight 5 in force and weight 1
    And team "a" has weight 5

  Scenario: A record that an operator left as it was is not taken back
    Given a platform
    When an operator puts team "a" with weight 1
    And another instance puts team "a" with weight 5 just before the next write
    And an operator puts teams "a" and "b" with weights 1 and 2
    Then there is a conflict on team "a" between weight 5 in force and weight 1

  Scenario: A named revision must match though the record is as wanted
    Given a platform
    When an operator puts team "a" with weight 1
    And an operator puts team "a" with weight 1 edited from record revision 0
    Then there is a conflict on team "a" between weight 1 in force and weight 1

  Scenario Outline: An operator with an old revision gets a conflict
    Given a platform
    When an operator puts team "a" with weight 1
    And an operator puts team "a" with weight 2
    And an operator puts team "a" with weight 3 edited from <base>
    Then there is a conflict on team "a" between weight 2 in force and weight 3

    Examples:
      | base              |
      | revision 1        |
      | record revision 1 |
      | record revision 0 |

  Scenario: A deleted record's revision does not start again
    Given a platform
    When an operator puts team "a" with weight 1
    And an operator deletes team "a"
    And an operator puts team "a" with weight 3 edited from record revision 0
    Then there is a conflict on team "a" between nothing in force and weight 3

  Scenario: A wrong change changes nothing
    Given a platform
    When an operator deletes team "a"
    Then the change is invalid
    And the platform holds 0 changes

  Scenario: Without the platform the records in force stay
    Given a platform
    When an operator puts team "a" with weight 1
    And the platform goes down
    And an operator puts team "a" with weight 2
    Then the change is refused for "platform-unavailable"
    And team "a" has weight 1

  Scenario: A change that can't be settled is told as such
    Given a platform
    And the platform goes down after the next write
    When an operator puts team "a" with weight 1 under id "first"
    Then the change is refused for "unsettled"
    When the platform comes back
    And an operator puts team "a" with weight 1 under id "first"
    Then the change is accepted at revision 1
    And the platform holds 1 change

  Scenario: A new instance starts from the stored snapshot
    Given a platform with 13 changes and a snapshot every 5
    When a new instance polls without the rows of changes 1 to 9
    Then it has the same records and revisions in force

  Scenario: A damaged snapshot costs time only
    Given a platform with 13 changes and a snapshot every 5
    And its snapshots are damaged
    When a new instance polls
    Then it has the same records and revisions in force

  Scenario: Peers bring each other up to date
    Given a platform with 13 changes and a snapshot every 5
    Then a peer at any revision is brought up to date, twice over and out of order

  Scenario: Bytes that are no change are refused and change nothing
    Given a platform with 13 changes and a snapshot every 5
    Then 200 generated or altered entries from a peer never lower the revision
