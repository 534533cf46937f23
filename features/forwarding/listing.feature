Feature: Upstreams that are missing from the list for a short time

  Background:
    Given the upstreams "a,b" are listed

  Scenario: An upstream whose entry is removed is no longer usable
    When the entry of "a" is removed at 10 s
    Then "b" is usable at 10 s

  Scenario: An upstream whose entry is missing after an outage stays usable for a short time
    When the entry of "a" is missing when the store is available again at 10 s
    Then "a,b" is usable at 11 s
    And "b" is usable at 11.9 s

  Scenario: An upstream whose entry is listed again in time stays usable
    When the entry of "a" is missing when the store is available again at 10 s
    And "a" is listed again
    Then "a,b" is usable at 20 s

  Scenario: A leaving upstream whose entry is missing is no longer usable
    When "a" is leaving
    And the entry of "a" is missing when the store is available again at 10 s
    Then "b" is usable at 10 s

  Scenario: An upstream whose entry can't be read is not usable
    When the entry of "a" can't be read
    Then "b" is usable at 10 s

  Scenario: An upstream that is not in a whole list is removed
    When the whole list is "b" at 10 s
    Then "b" is usable at 10 s
