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

  Scenario: A leaving upstream that the copy lists as serving keeps leaving
    When "a" is leaving
    And the store is restored at 10 s from a copy that lists "a,b"
    Then "b" is usable at 10 s
    And "b" is usable at 20 s

  Scenario: A removed upstream that the copy still lists is not used until the store may have removed it
    When the entry of "a" is removed at 9 s
    And the store is restored at 10 s from a copy that lists "a,b"
    Then "b" is usable at 14.9 s
    And "a,b" is usable at 15 s

  Scenario: A removed upstream whose entry is written again after the restore is used at once
    When the entry of "a" is removed at 9 s
    And the store is restored at 10 s from a copy that lists "a,b"
    And the entry of "a" is written at 11 s after the restore
    Then "a,b" is usable at 11 s

  Scenario: An upstream that the copy doesn't list yet stays usable for a short time
    When the store is restored at 10 s from a copy that lists "b"
    Then "a,b" is usable at 11 s
    And "b" is usable at 11.9 s

  Scenario: A new process under the name of a leaving upstream is used
    When "a" is leaving
    And the store is restored at 10 s from a copy that lists "b"
    And the entry of "a" is written at 11 s after the restore
    Then "a,b" is usable at 11 s

  Scenario: A later whole list of the same era is treated like the first one
    When "a" is leaving
    And the store is restored at 10 s from a copy that lists "a,b"
    And the whole list is "a,b" at 11 s
    Then "b" is usable at 12 s

  Scenario: An entry of an earlier process with the same name is ignored
    When the entry of "a" is removed at 8 s
    And a new process "a" is listed at 9 s
    And the store is restored at 10 s from a copy that lists "a,b"
    Then the process of "a" that is usable at 10 s is the new one

  Scenario: An upstream known only from a copy gets no grace time after the next restore
    When the entry of "a" is removed at 9 s
    And the store is restored at 10 s from a copy that lists "a,b"
    And the store is restored at 16 s from a copy that lists "b"
    Then "b" is usable at 16 s

  Scenario: A second restore begins the delay of an upstream known only from a copy anew
    When the entry of "a" is removed at 9 s
    And the store is restored at 10 s from a copy that lists "a,b"
    And the store is restored at 13 s from a copy that lists "a,b"
    Then "b" is usable at 17.9 s
    And "a,b" is usable at 18 s
