Feature: A confirmed change is in force in time

  # Guards against requests that an undisturbed instance handles by a configuration that was
  # replaced too long ago (incident CONFIG).
  Scenario Outline: Changes are in force in time although <what>
    Given drawn histories of <instances> instances from seed <first> to <last>
    When changes come amid disturbances of the kinds <kinds>
    Then each undisturbed instance has each change in force in time
    And none sends to an upstream that has said in time that it leaves

    Examples: drawn
      | what                                                 | instances | first | last | kinds                         |
      | the store turns some away and drops its history      | 22        | 0     | 119  | turn-away,drop                |
      | connections go silent and instances fail             | 22        | 0     | 119  | kill,turn-away,silence,drop   |
      | instances are cut off and messages lost              | 22        | 0     | 59   | kill,turn-away,cut-off,loss,drop |
      | a small site has all of these                        | 7         | 0     | 59   | kill,turn-away,cut-off,silence,loss,drop |
      | a large data centre has all of these                 | 60        | 0     | 11   | kill,turn-away,cut-off,silence,loss,drop |

      | the reader's call for the list hangs and it is lost  | 22        | 0     | 39   | turn-away,silence,kill        |
      | connections of a large data centre go silent         | 60        | 2000  | 2011 | kill,turn-away,cut-off,loss,silence,drop |

  # Guards against changes that are late where each instance has to read them from the store.
  Scenario: Changes of a large configuration are in force in time
    Given drawn histories of 22 instances from seed 0 to 29
    And a configuration that takes 0.4 s to read
    When changes come amid disturbances of the kinds kill,turn-away,cut-off,loss
    Then each undisturbed instance has each change in force in time
    And none sends to an upstream that has said in time that it leaves
