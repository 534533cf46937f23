Feature: The check of a randomised run finds each violation of a rule

  Scenario: A run without violations breaks no rule
    Given the journals of a run without violations
    Then no rule is broken

  Scenario Outline: A violation breaks the rule that forbids it, and no other rule
    Given the journals of a run without violations
    When <event> is added
    Then only "<rule>" is broken

    Examples:
      | event                                                  | rule                                     |
      | a second run of a submission                           | no non-idempotent key ran twice          |
      | a run of a refused request                             | nothing told not-run was run             |
      | a run of a refused copy of a submission                | nothing told not-run was run             |
      | a wrong answer reported as completed                   | each completed answer is right           |
      | a caller without an answer                             | one final answer by the deadline         |
      | a stream cut at a live instance                        | one final answer by the deadline         |
      | a late answer                                          | one final answer by the deadline         |
      | two answers to one request                             | one final answer by the deadline         |
      | a query refused while drafts are sent                  | no upper tier refused before a lower one |
      | a class without a start                                | each class progresses                    |
      | a class that waits while a newer remote request starts | each class progresses                    |
      | a request cut by a planned stop                        | no planned stop cuts a request           |
      | a planned stop with code 70                            | no planned stop cuts a request           |
      | an instance that a violated invariant ended            | no process ended by itself               |
      | a violated invariant in a log                          | no process ended by itself               |
      | a request sent 5 s after an upstream began to leave    | a leaving upstream gets nothing new      |
      | an instance without an accepted change                 | each change is in force within 4 s       |
      | an instance that never caught up after a cut           | each change is in force within 4 s       |
      | a revision that decreased                              | no revision fell                         |
      | a change committed twice                               | no change was made twice or wrongly told |
      | an accepted change that was not committed              | no change was made twice or wrongly told |
      | a conflicting change that was committed                | no change was made twice or wrongly told |

  Scenario Outline: An event that a fault or an exception of a rule explains breaks no rule
    Given the journals of a run without violations
    When <event> is added
    Then no rule is broken

    Examples:
      | event                                                   |
      | a caller whose instance was killed                      |
      | a query refused while peers are cut                     |
      | a query refused while the floor serves a draft          |
      | a request sent 5 s after that by a resumed instance     |
      | a change that waits for the end of a cut                |
      | a refused copy of a submission that ran                 |
      | a class that waits while an older remote request starts |
      | a restart with an older revision                        |
