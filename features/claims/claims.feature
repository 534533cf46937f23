Feature: At-most-once claims

  Background:
    Given instances "a" and "b" on one platform

  Scenario: Only one of two attempts gets the claim
    When "a" claims key "k1"
    And "b" claims key "k1"
    Then "a" has taken it
    And "b" hears that it is held

  Scenario: A hundred attempts at the same moment make one claim
    When 100 attempts of "a" and "b" claim key "k1" at once
    Then exactly 1 has taken it

  Scenario Outline: A repeat at another instance hears the recorded outcome
    When "a" claims key "k1"
    And "a" finishes it as "<outcome>" with the answer "1 cow"
    And "b" looks up key "k1"
    Then "b" hears the outcome "<outcome>" with the answer "1 cow"
    When "b" claims key "k1"
    Then "b" hears the outcome "<outcome>" with the answer "1 cow"

    Examples:
      | outcome |
      | completed |
      | failed |
      | unknown |

  Scenario: A claim whose owner proved that it sent nothing may be claimed anew
    When "a" claims key "k1"
    And "a" finishes it as "not-run" with the answer ""
    And "b" looks up key "k1"
    Then "b" hears that it may be claimed
    When "b" claims key "k1"
    Then "b" has taken it

  Scenario: A key that belongs to another request is refused
    When "a" claims key "k1"
    And "b" claims key "k1" with the body "2 cows"
    Then "b" hears that the key is another request's

  Scenario: Teams and targets have keys of their own
    When "a" claims key "k1"
    And "b" claims key "k1" for the team "other"
    Then "b" has taken it

  Scenario Outline: A lost reply is settled by reading back
    Given the platform answers the next writes with "<faults>"
    When "a" claims key "k1"
    Then "a" has taken it
    When 20 s pass
    And "b" claims key "k1"
    Then "b" hears that it is held

    Examples:
      | faults |
      | lost-applied |
      | lost-dropped |
      | lost-late |
      | hang |
      | lost-late, lost-late, lost-dropped |
      | lost-soon, lost-dropped |

  Scenario Outline: A reply that can't be settled sends nothing and blocks no one
    Given the platform answers the next writes with "<fault>"
    And the platform is down from 0.006 s to 60 s on
    When "a" claims key "k1"
    Then "a" is refused for "platform-unavailable"
    When 100 s pass
    And "b" looks up key "k1"
    Then "b" hears that it may be claimed
    When "b" claims key "k1"
    Then "b" has taken it

    Examples:
      | fault |
      | lost-applied |
      | lost-dropped |
      | lost-late |

  Scenario: A late write doesn't land after its attempt was refused
    Given the platform answers the next writes with "lost-late, down"
    When "a" claims key "k1"
    Then "a" is refused for "platform-unavailable"
    When 100 s pass
    And "b" claims key "k1"
    Then "b" has taken it

  Scenario: An attempt that is cancelled blocks no one
    When "a" starts to claim key "k1" and is cancelled
    And 20 s pass
    And "b" claims key "k1"
    Then "b" has taken it

  Scenario: Without the platform a keyed request is refused at once
    Given the platform is down from 0 s to 60 s on
    When "a" claims key "k1"
    Then "a" is refused for "platform-unavailable"
    And less than 1 s has passed

  Scenario: An outcome is recorded through an outage, after its caller has left
    When "a" claims key "k1"
    Given the platform is down from 0 s to 120 s on
    When "a" finishes it as "completed" with the answer "1 cow"
    And "a" closes
    And "b" looks up key "k1"
    Then "b" hears the outcome "completed" with the answer "1 cow"

  Scenario: An outcome that can't be recorded leaves the claim held for good
    When "a" claims key "k1"
    Given the platform is down from 0 s to 400 s on
    When "a" finishes it as "completed" with the answer "1 cow"
    And "a" closes
    And 200 s pass
    And "b" claims key "k1"
    Then "b" hears that it is held

  Scenario: A lost reply to the outcome's write does no harm
    When "a" claims key "k1"
    Given the platform answers the next writes with "lost-applied, lost-late"
    When "a" finishes it as "completed" with the answer "1 cow"
    And "a" closes
    And "b" looks up key "k1"
    Then "b" hears the outcome "completed" with the answer "1 cow"

  Scenario: A large answer is kept in the object store
    When "a" claims key "k1"
    And "a" finishes it as "completed" with an answer of 100000 bytes
    And "a" closes
    And "b" looks up key "k1"
    Then "b" hears the outcome "completed" with an answer of 100000 bytes
    And no row is larger than 2000 bytes

  Scenario: A repeat waits for the first's outcome
    When "a" claims key "k1"
    And "b" looks up key "k1" while "a" finishes it after 9 s
    Then "b" hears the outcome "completed" with the answer "1 cow"

  Scenario: A repeat waits no longer than its deadline
    When "a" claims key "k1"
    And "b" looks up key "k1"
    Then "b" hears that it is held
    And less than 61 s has passed

  Scenario: Claims that come together go into few transactions
    When "a" claims 60 keys at once
    Then 60 are taken in at most 2 transactions

  Scenario: A conflict in one claim doesn't fail those beside it
    When "b" claims key "key-7"
    And "a" claims 60 keys at once
    Then 59 are taken in at most 4 transactions

  Scenario: A row that can't be read counts as held
    Given the row of key "k1" holds nonsense
    When "a" claims key "k1"
    Then "a" hears that it is held

  Scenario: Expired claims are deleted and others stay
    When "a" claims key "old"
    And "a" finishes it as "completed" with an answer of 100000 bytes
    And 6 days later "a" claims key "new"
    And both instances sweep until 8 days have passed
    Then only the row of key "new" is left
    And what lists the expiry of claims has 1 row

  Scenario: Any row survives encoding and decoding
    Then random rows are the same after encoding and decoding
