Feature: Two instances never act under one lease

  A call to the platform's API of an instance that has lost the lease may undo what its
  successor has ordered, or report a window twice.

  Scenario Outline: Drawn histories of faults where the API enforces fencing or not
    When <count> histories of <faults> are played with and without fencing
    Then no rule of the lease is broken
    And at least <calls> calls were executed under at least <tokens> tokens

    Examples:
      | count | faults | calls | tokens |
      | 500 | all faults | 40000 | 4000 |
      | 100 | planned stops | 9000 | 900 |
      | 100 | restores of the store | 9000 | 250 |
      | 20 | no faults | 2000 | 40 |

  Scenario Outline: The histories find a rule that is left out
    Given instances that <fault>
    When up to 2000 histories of <faults> are played
    Then a rule of the lease is broken

    Examples:
      | fault | faults |
      | act for longer than a candidate waits | all faults |
      | do not raise the token in a new era | all faults |
      | take a lease that was released in an earlier era | stops and restores |
      | take a lease that is missing in a new era | all faults |
      | take a response of another era for a confirmation | all faults |
      | take the row of an earlier process for their own | all faults |
      | take the lease again without a rest | planned stops |
