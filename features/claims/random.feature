Feature: At-most-once execution under faults

  Scenario: Random interleavings of owners, repeats, lost replies and outages
    When 400 random runs of up to 10 requests with 2 keys at 3 instances are made
    Then at most one request was sent for each key
    And every repeat that got an answer got the answer of the request that was sent
    And no request that was sent is reported as not run
    And no claim was taken over
    And no key whose request was never sent is blocked after the faults
    And each recorded outcome is returned after the faults
