Feature: The examples on the admission page are correct

  Scenario: Each example produces the output shown on the page
    When the examples of "docs/ADMISSION.md" are run
    Then each example produces the output shown on the page
