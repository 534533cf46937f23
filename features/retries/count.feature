Feature: An instance that starts knows how many share the bound on repeats

  # Guards against an instance that takes itself for the only one until it has found the
  # others, and repeats as much as all of them together may (BUDGET).
  Scenario Outline: An instance is replaced where changes have to be in force within <change_ms> ms
    Given a site of 4 instances and 1 upstream, in which changes are in force within <change_ms> ms
    When one instance is killed and starts again
    Then the first number of instances that it counts is 4

    Examples: instances read the store themselves, or share what one of them reads
      | change_ms |
      | 2000      |
      | 3000      |
