Feature: All responses in progress share a bound on the memory that they take

  # Guards against a sound response that is ended in place of one without an end.
  Scenario Outline: The responses hold too much together
    Given responses that may hold 100 bytes together
    And a response <first length> that holds 60 bytes
    And a response <second length> that holds 30 bytes
    When a response without a length comes to hold <size> bytes
    Then the responses that were ended held <ended> bytes
    And all others hold <held> bytes together

    Examples:
      | first length     | second length    | size | ended  | held |
      | with a length    | without a length | 10   | none   | 100  |
      | with a length    | without a length | 20   | 30     | 80   |
      | without a length | without a length | 20   | 60     | 50   |
      | with a length    | with a length    | 20   | 20     | 90   |
      | without a length | without a length | 90   | 90     | 90   |
      | with a length    | without a length | 41   | 41     | 90   |
