Feature: At most once, whatever fails

  Scenario: Any interleaving of owners, repeats, lost replies and outages
    When 400 random runs of up to 10 requests with 2 keys at 3 instances are made
    Then no key was sent twice
    And no repeat heard another answer than that of the one that was sent
    And nothing that was sent is told as not run
    And no claim was taken over
    And no key that was never sent is blocked once the faults are over
    And each recorded outcome is heard once the faults are over
