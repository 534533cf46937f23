Feature: Entries of instances that are gone are removed from the store's list

  # Guards against entries that stay for good: 63 of 3 live instances after 60 replacements.
  Scenario: Each entry of an instance that is gone is removed by one live instance
    Given 3 live instances, and 60 that are gone, which all list each other
    When the live ones have asked and cleaned the list for 200 s
    Then the entries of the live ones alone are left
    And no entry was removed twice

  # Guards against the removal of a live instance during a short cut.
  Scenario: Instances that are silent for less than two minutes keep their entries
    Given 3 live instances, and 6 that are gone, which all list each other
    When the live ones have asked and cleaned the list for 100 s
    Then no entry was removed

  # Guards against an instance that was taken for gone and stays out of the list.
  Scenario: The entry of a live instance was removed
    Given 3 live instances, and 0 that are gone, which all list each other
    When the entry of one is removed
    And the live ones have asked and cleaned the list for 60 s
    Then the entries of the live ones alone are left

  # Guards against entries of earlier starts, which no other instance can tell from a live one.
  Scenario: Live instances were killed and have started again at their addresses
    Given 3 live instances, and 0 that are gone, which all list each other
    And an earlier start at the address of each
    When the live ones have asked and cleaned the list for 60 s
    Then no entry was removed
    When the live ones have asked and cleaned the list for 120 s
    Then the entries of the live ones alone are left

  # Guards against the removal of live instances by one that is cut off from them.
  Scenario: One instance is cut off from the others and reaches the store
    Given 3 live instances, and 0 that are gone, which all list each other
    When one is cut off from the others while the list is cleaned for 300 s
    And the live ones have asked and cleaned the list for 60 s
    Then the entries of the live ones alone are left
    And each counts 3 instances that may be running

  # Guards against the end of cleaning by one call that fails.
  Scenario: The store doesn't answer while the list is cleaned
    Given 3 live instances, and 6 that are gone, which all list each other
    When the live ones have asked and cleaned the list for 200 s while no removal is confirmed
    Then no entry was removed
    When the live ones have asked and cleaned the list for 60 s
    Then the entries of the live ones alone are left
