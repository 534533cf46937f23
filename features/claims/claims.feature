Feature: At-most-once execution with claims

  Background:
    Given instances "a" and "b" that share one platform

  Scenario: Only one of two attempts gets the claim
    When "a" claims key "k1"
    And "b" claims key "k1"
    Then "a" holds the claim
    And "b" is told that the key is claimed

  Scenario: Of a hundred simultaneous attempts exactly one gets the claim
    When 100 attempts of "a" and "b" claim key "k1" at the same time
    Then exactly 1 attempt holds the claim

  Scenario Outline: A repeat at another instance gets the recorded outcome
    When "a" claims key "k1"
    And "a" finishes the request with outcome "<outcome>" and answer "1 cow"
    And "b" looks up key "k1"
    Then "b" gets outcome "<outcome>" and answer "1 cow"
    When "b" claims key "k1"
    Then "b" gets outcome "<outcome>" and answer "1 cow"

    Examples:
      | outcome |
      | completed |
      | failed |
      | unknown |

  Scenario: A key can be claimed again after its owner proved that it sent nothing
    When "a" claims key "k1"
    And "a" finishes the request with outcome "not-run" and answer ""
    And "b" looks up key "k1"
    Then "b" is told that the key can be claimed
    When "b" claims key "k1"
    Then "b" holds the claim

  Scenario: A key that was used for a different request is refused
    When "a" claims key "k1"
    And "b" claims key "k1" with the body "2 cows"
    Then "b" is told that the key was used for a different request

  Scenario: Each team and each target has its own keys
    When "a" claims key "k1"
    And "b" claims key "k1" for the team "other"
    Then "b" holds the claim

  Scenario Outline: After a lost reply the row is read back to learn whether the claim was written
    Given the platform answers the next writes with "<faults>"
    When "a" claims key "k1"
    Then "a" holds the claim
    When 20 s pass
    And "b" claims key "k1"
    Then "b" is told that the key is claimed

    Examples:
      | faults |
      | lost-applied |
      | lost-dropped |
      | lost-late |
      | hang |
      | lost-late, lost-late, lost-dropped |
      | lost-soon, lost-dropped |

  Scenario Outline: A claim whose result stays unknown is refused and does not block the key
    Given the platform answers the next writes with "<fault>"
    And the platform is down from 0.006 s to 60 s from now
    When "a" claims key "k1"
    Then "a" is refused for reason "platform-unavailable"
    When 100 s pass
    And "b" looks up key "k1"
    Then "b" is told that the key can be claimed
    When "b" claims key "k1"
    Then "b" holds the claim

    Examples:
      | fault |
      | lost-applied |
      | lost-dropped |
      | lost-late |

  Scenario: A late write is not applied after its attempt was refused
    Given the platform answers the next writes with "lost-late, down"
    When "a" claims key "k1"
    Then "a" is refused for reason "platform-unavailable"
    When 100 s pass
    And "b" claims key "k1"
    Then "b" holds the claim

  Scenario: A cancelled attempt does not block the key
    When "a" starts to claim key "k1" and is cancelled
    And 20 s pass
    And "b" claims key "k1"
    Then "b" holds the claim

  Scenario: A request with a key is refused immediately while the platform is down
    Given the platform is down from 0 s to 60 s from now
    When "a" claims key "k1"
    Then "a" is refused for reason "platform-unavailable"
    And less than 1 s has passed

  Scenario: An outcome is recorded after an outage, although its caller has left
    When "a" claims key "k1"
    Given the platform is down from 0 s to 120 s from now
    When "a" finishes the request with outcome "completed" and answer "1 cow"
    And "a" closes its claims
    And "b" looks up key "k1"
    Then "b" gets outcome "completed" and answer "1 cow"

  Scenario: A claim whose outcome can't be recorded stays held
    When "a" claims key "k1"
    Given the platform is down from 0 s to 400 s from now
    When "a" finishes the request with outcome "completed" and answer "1 cow"
    And "a" closes its claims
    And 200 s pass
    And "b" claims key "k1"
    Then "b" is told that the key is claimed

  Scenario: An outcome is recorded although replies to its writes are lost
    When "a" claims key "k1"
    Given the platform answers the next writes with "lost-applied, lost-late"
    When "a" finishes the request with outcome "completed" and answer "1 cow"
    And "a" closes its claims
    And "b" looks up key "k1"
    Then "b" gets outcome "completed" and answer "1 cow"

  Scenario: A large answer is stored in the object store
    When "a" claims key "k1"
    And "a" finishes the request with outcome "completed" and an answer of 100000 bytes
    And "a" closes its claims
    And "b" looks up key "k1"
    Then "b" gets outcome "completed" and an answer of 100000 bytes
    And no row is larger than 2000 bytes

  Scenario: A repeat waits for the outcome of the first request
    When "a" claims key "k1"
    And "b" looks up key "k1" and "a" finishes the request 9 s later
    Then "b" gets outcome "completed" and answer "1 cow"

  Scenario: A repeat waits at most until its deadline
    When "a" claims key "k1"
    And "b" looks up key "k1"
    Then "b" is told that the key is claimed
    And less than 61 s has passed

  Scenario: Simultaneous claims share a few transactions
    When "a" claims 60 keys at the same time
    Then 60 attempts hold their claims after at most 2 transactions

  Scenario: A conflict on one claim does not fail others in the same transaction
    When "b" claims key "key-7"
    And "a" claims 60 keys at the same time
    Then 59 attempts hold their claims after at most 4 transactions

  Scenario: A key whose row can't be decoded counts as claimed
    Given the row of key "k1" can't be decoded
    When "a" claims key "k1"
    Then "a" is told that the key is claimed

  Scenario: Expired claims are deleted and others are kept
    When "a" claims key "old"
    And "a" finishes the request with outcome "completed" and an answer of 100000 bytes
    And after a first sweep and 6 days "a" claims key "new"
    And both instances sweep until 8 days have passed
    Then only the row of key "new" is left
    And the expiry tables have 1 row

  Scenario: A decoded row equals the row that was encoded
    Then random rows are equal after encoding and decoding
