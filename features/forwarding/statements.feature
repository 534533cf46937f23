Feature: Drawn histories of what upstreams state, against a model of the rules

  Scenario: No history sends to an upstream against what its process has stated
    Then in drawn histories a leaving upstream gets nothing more
    And in drawn histories an upstream gets nothing before the end of the time that it named
    And in drawn histories an upstream gets no more than its limit from one instance
    And in drawn histories nothing is refused while an upstream has stated nothing
