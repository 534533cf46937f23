Feature: The check of a randomised run finds what breaks a rule

  Scenario: A run in which all went well breaks no rule
    Given the journals of a run in which all went well
    Then no rule is broken

  Scenario Outline: What must not happen breaks its rule, and no other
    Given the journals of a run in which all went well
    When <event> is added
    Then only "<rule>" is broken

    Examples:
      | event                                        | rule                                     |
      | a second run of a submission                 | no non-idempotent key ran twice          |
      | a run of a refused request                   | nothing told not-run was run             |
      | a run of a refused copy of a submission      | nothing told not-run was run             |
      | a wrong answer told as completed             | each completed answer is right           |
      | a caller without an answer                   | one final answer by the deadline         |
      | a stream cut at a live instance              | one final answer by the deadline         |
      | a late answer                                | one final answer by the deadline         |
      | two answers to one request                   | one final answer by the deadline         |
      | a query refused while drafts are sent        | no upper tier refused before a lower one |
      | a class without a start                      | each class progresses                    |
      | a class that waits while a newer guest starts | each class progresses                    |
      | a request cut by a planned stop              | no planned stop cuts a request           |
      | a planned stop with code 70                  | no planned stop cuts a request           |
      | an instance that ended by an invariant       | no process ended by itself               |
      | a violated invariant in a log                | no process ended by itself               |
      | work sent 5 s after an upstream began to leave | a leaving upstream gets nothing new    |
      | an instance without an accepted change       | each change is in force within 4 s       |
      | an instance that never caught up after a cut | each change is in force within 4 s       |
      | a revision that fell                         | no revision fell                         |
      | a change made twice                          | no change was made twice or wrongly told |
      | an accepted change that was not made         | no change was made twice or wrongly told |
      | a conflicting change that was made           | no change was made twice or wrongly told |

  Scenario Outline: What a fault explains breaks no rule
    Given the journals of a run in which all went well
    When <event> is added
    Then no rule is broken

    Examples:
      | event                                              |
      | a caller whose instance was killed                 |
      | a query refused while peers are cut                |
      | a query refused while the floor serves a draft     |
      | work sent 5 s after by an instance just resumed    |
      | a change that waits for the end of a cut           |
      | a refused copy of a submission that ran            |
      | a class that waits while an older guest starts     |
      | a restart with an older revision                   |
