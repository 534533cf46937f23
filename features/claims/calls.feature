Feature: Claims of callers' requests

  Background:
    Given the calls of instances "a" and "b" that share one platform

  Scenario: The call that gets the claim is sent, and its repeat gets its answer
    When call "r1" with key "k1" is claimed at "a"
    Then the call may be sent
    When call "r1" ends at "a" as "completed" with status 200 and body "filed"
    And call "r2" with key "k1" is looked up at "b"
    Then the answer is "completed" with status 200 and body "filed"
    And the headers of the answer are "Content-Type"

  Scenario Outline: The answer gives the reason why a call is not sent
    Given <state>
    When call "r9" with key "k1" is claimed at "b"
    Then the answer is "<outcome>" with status <status> for reason "<reason>"

    Examples:
      | state | outcome | status | reason |
      | key "k1" is claimed by another call | unknown | 409 | claim-held |
      | key "k1" was used for a different call | not-run | 422 | key-reused |
      | the platform is unavailable | not-run | 503 | platform-unavailable |

  Scenario: A call that fails after its claim and before it is sent releases the claim
    When call "r1" with key "k1" is dispatched at "a" and its second request for a slot raises an error
    Then the dispatcher raises the error
    When call "r2" with key "k1" is claimed at "b"
    Then the call may be sent

  Scenario: Of two simultaneous calls with the same key one is sent, and both get its answer
    When calls "r1" and "r2" with key "k1" are dispatched at "a" and "b" at the same time
    Then both answers are "completed" with body "filed"
    And only one of the calls was sent

  Scenario Outline: A platform that does not answer delays a call at most until its deadline
    Given the platform never answers <what>
    When call "r1" with key "k1" and a deadline in 1 s is dispatched at "a"
    Then the answer is "<outcome>" with status <status> for reason "deadline-passed"
    And the answer came at the call's deadline
    When call "r2" with key "k1" is claimed at "b"
    Then the call may be sent

    Examples:
      | what    | outcome | status |
      | a claim | not-run | 503    |
      | a read  | unknown | 504    |
