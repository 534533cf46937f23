Feature: Only the adapter uses the names of the platform's interfaces

  Scenario: No module outside the adapter contains such a name
    Then no module outside "jujubenotch/platform" contains a name of the platform's interfaces
