Feature: The page on admission shows what happens

  Scenario: The example gives what the page shows
    When the examples of "docs/ADMISSION.md" are run
    Then each gives what the page shows
