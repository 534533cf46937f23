Feature: A majority of the instances tells which versions serve while the store doesn't answer

  # Guards against a majority that nobody can reach, as instances that are gone count in it, and
  # against nobody being asked where more than 64 are listed.
  Scenario Outline: Instances that are gone don't count in the majority
    Given an instance that lists 4 live instances, and <gone> that are gone
    When it has to know all versions while the store doesn't answer
    Then it knows them, and "v2" among them

    Examples:
      | gone |
      | 0    |
      | 2    |
      | 60   |
      | 100  |

  # Guards against a majority of the instances on one side of a cut.
  Scenario Outline: Instances that are silent count in the majority
    Given an instance that lists 2 live instances, and <silent> that are silent
    When it has to know all versions while the store doesn't answer
    Then it <answer> them

    Examples:
      | silent | answer        |
      | 1      | knows         |
      | 2      | knows         |
      | 3      | doesn't know  |
      | 6      | doesn't know  |

  # Guards against an instance that takes itself alone for a majority.
  Scenario: All other instances are gone
    Given an instance that lists 0 live instances, and 6 that are gone
    When it has to know all versions while the store doesn't answer
    Then it doesn't know them
