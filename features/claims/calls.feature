Feature: Claims of callers' requests

  Background:
    Given the calls of two instances on one platform

  Scenario: The call that takes the claim is sent, and its repeat hears its answer
    When call "r1" with key "k1" is taken at "a"
    Then it is to be sent
    When call "r1" is finished at "a" as "completed" with 200 and "filed"
    And call "r2" with key "k1" is looked up at "b"
    Then its answer is "completed" with 200 and "filed"
    And its headers are "Content-Type"

  Scenario Outline: Why a call isn't sent is told
    Given <state>
    When call "r9" with key "k1" is taken at "b"
    Then its answer is "<outcome>" with <status> for "<reason>"

    Examples:
      | state | outcome | status | reason |
      | key "k1" is held | unknown | 409 | claim-held |
      | key "k1" is another call's | not-run | 422 | key-reused |
      | the platform is away | not-run | 503 | platform-unavailable |

  Scenario: A call that fails after its claim, without having been sent, releases it
    When call "r1" with key "k1" is dispatched at "a" and asking for its second slot raises an error
    Then the error is passed on
    When call "r2" with key "k1" is taken at "b"
    Then it is to be sent

  Scenario: Two first calls at once: one is sent, the other hears its answer
    When calls "r1" and "r2" with key "k1" are dispatched at "a" and "b" at once
    Then both answers are "completed" with "filed"
    And "filed" was sent once

  Scenario Outline: A platform that hangs holds a call up to its deadline only
    Given the platform hangs at <what>
    When call "r1" with key "k1" and 1 s to its deadline is dispatched at "a"
    Then its answer is "<outcome>" with <status> for "deadline-passed"
    And it came at its deadline
    When call "r2" with key "k1" is taken at "b"
    Then it is to be sent

    Examples:
      | what    | outcome | status |
      | a claim | not-run | 503    |
      | a read  | unknown | 504    |
