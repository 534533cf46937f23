Feature: Runs on one machine don't draw each other's ports

  Scenario: A port that one run has drawn is not drawn by another before a program uses it
    Given another run that has drawn 300 of 500 ports
    When this run draws 150 of the same 500 ports
    Then no port was drawn by both

  Scenario: A run that finds too few free ports fails instead of searching forever
    Given another run that has drawn 300 of 500 ports
    Then drawing 250 of the same 500 ports fails
