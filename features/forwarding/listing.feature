Feature: The list of upstreams has gaps

  Background:
    Given the upstreams "a,b" are listed

  Scenario: An entry that goes is gone
    When the entry of "a" is removed at 10 s
    Then "b" is usable at 10 s

  Scenario: An entry that is missing after an outage may come back
    When the entry of "a" is missing as the store is back at 10 s
    Then "a,b" is usable at 11 s
    And "b" is usable at 11.9 s

  Scenario: It comes back in time
    When the entry of "a" is missing as the store is back at 10 s
    And "a" is listed again
    Then "a,b" is usable at 20 s

  Scenario: A leaving upstream that is missing is gone
    When "a" is leaving
    And the entry of "a" is missing as the store is back at 10 s
    Then "b" is usable at 10 s

  Scenario: An entry that can't be read names no upstream
    When the entry of "a" can't be read
    Then "b" is usable at 10 s

  Scenario: A whole list without an entry removes it
    When the whole list is "b" at 10 s
    Then "b" is usable at 10 s
