Feature: One instance of a data centre reads the store for its neighbours

  Each instance of a large site that follows the store by itself costs the store one
  call for each instance, table and wait, although all of them read the same pages.

  Scenario: A fleet at rest calls the store as often as one instance
    Given 40 instances that have read the store
    When 3 s pass
    Then the store was called at most 30 times in that time
    And exactly 1 instance is the reader
    And no configuration is older than 1.2 s

  Scenario: Where the configuration may have any age, one instance reads as well
    Given 20 instances whose configuration may have any age
    When 4 s pass
    Then exactly 1 instance is the reader

  Scenario: A change reaches all instances by one call
    Given 40 instances that have read the store
    When 2 s pass
    And the configuration 2 is written
    And the upstream "a" is leaving
    And 0.3 s pass
    Then all instances have the configuration 2
    And no instance uses the upstream "a"
    And the store was called at most 10 times in that time

  # Guards against logs from which nobody can tell who brought the version that decided.
  Scenario: Each instance can tell who brought the configuration
    Given 10 instances that have read the store
    When 2 s pass
    And the configuration 2 is written
    And 0.3 s pass
    Then all instances but the reader name the reader as the source of the configuration 2
    And the reader names the store

  Scenario: A configuration that is too large for a message is read from the store
    Given 20 instances that have read the store
    When 2 s pass
    And the configuration 2 of 200000 bytes is written
    And 0.8 s pass
    Then all instances have the configuration 2

  Scenario: Another instance takes over when the reader is gone
    Given 20 instances that have read the store
    When 2 s pass
    And the reader is killed
    And the upstream "a" is leaving
    And 1.2 s pass
    Then no instance uses the upstream "a"
    And no configuration is older than 1.2 s

  Scenario: Another instance takes over when the store turns the reader away
    Given 20 instances that have read the store
    When 2 s pass
    And the store turns the reader away
    And the configuration 2 is written
    And 1.5 s pass
    Then all instances have the configuration 2
    And no configuration is older than 1.2 s
    And exactly 1 instance is the reader

  Scenario: An instance that is cut off from its neighbours reads the store itself
    Given 10 instances that have read the store
    When 2 s pass
    And one instance is cut off from its neighbours
    And the configuration 2 is written
    And 1.2 s pass
    Then all instances have the configuration 2
    And no configuration is older than 1.2 s

  Scenario: Lost messages are made up for
    Given 20 instances that have read the store
    And 30 of 100 messages are lost
    When 2 s pass
    And the configuration 2 is written
    And the upstream "a" is leaving
    And 1.5 s pass
    Then all instances have the configuration 2
    And no instance uses the upstream "a"

  Scenario: During an outage of the store most instances call it rarely
    Given 40 instances that have read the store
    When 2 s pass
    And the store is down
    And 6 s pass
    Then the store was called at most 260 times in that time

  Scenario: The end of an outage is noticed by all at once
    Given 40 instances that have read the store
    When 2 s pass
    And the store is down
    And 6 s pass
    And the store is back
    And 1 s pass
    Then no configuration is older than 1.2 s

  Scenario: All instances read the store again after it was restored from a copy
    Given 20 instances that have read the store
    When 2 s pass
    And a copy of the rows is made
    And the configuration 2 is written
    And 0.3 s pass
    And the copy of the rows is restored
    And the upstream "a" is leaving
    And 2 s pass
    Then all instances have the configuration 2
    And no instance uses the upstream "a"
    And all instances know the new era

  # Guards against instances that don't learn of the crashes that others saw.
  Scenario Outline: All instances block a part when three crashes were reported
    Given 20 instances that have read the store
    And <lost> of 100 messages are lost
    When 2 s pass
    And 3 instances report one crash each with the suspect "g"
    And <wait> s pass
    Then all instances block requests with the suspect "g"

    Examples:
      | lost | wait |
      | 0    | 0.5  |
      | 30   | 1.5  |

  Scenario Outline: Instances learn of crashes although <what>
    Given 20 instances that have read the store
    When 2 s pass
    And <what>
    And 3 instances report one crash each with the suspect "g"
    And 1.5 s pass
    Then all instances block requests with the suspect "g"

    Examples:
      | what                                         |
      | the reader is killed                         |
      | one instance is cut off from its neighbours  |

  Scenario: The writes of the lease reach instances that only get pages
    Given 10 instances that have read the store
    When 2 s pass
    And the reader knows writes of the lease at the revisions 901 and 902
    And 1.2 s pass
    Then all other instances account for the revisions 901 and 902
