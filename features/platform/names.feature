Feature: Only the adapter knows the platform's names

  Scenario: No module outside the adapter spells a name of the wire
    Then no module outside "jujubenotch/platform" spells a name of the wire
