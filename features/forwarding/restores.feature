Feature: Histories in which the store is restored from copies, against a model

  Scenario: No history reinstates an upstream that left, and all end with the true list
    Then for random histories no upstream that was seen leaving or gone is used again
    And for random histories the upstreams in use are at last those that run
