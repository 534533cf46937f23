Feature: How an upstream's answer ends tells whether it is whole

  Scenario Outline: An answer without a length ends with its connection
    Given an upstream whose answer without a length ends by a <ending>
    When the answer is read
    Then the answer is <verdict>

    Examples:
      | ending | verdict |
      | close  | whole   |
      | reset  | lost    |

  Scenario: An answer that is shorter than its length is lost
    Given an upstream whose answer is shorter than its length
    When the answer is read
    Then the answer is lost

  Scenario: Bytes after an answer belong to no later request
    Given an upstream that sends a second answer after each
    When two requests are sent one after the other
    Then the second request went on a new connection
