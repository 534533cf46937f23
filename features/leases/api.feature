Feature: Calls to the platform's API

  A result that is taken for another one makes a duty repeat what was executed, or
  believe what was not.

  Scenario Outline: The response tells what was executed
    Given an API that <answers>
    When an order is sent
    Then the result is "<result>"
    And the API received <calls> calls

    Examples:
      | answers | result | calls |
      | answers with 200 | done | 1 |
      | answers with 409 | conflict | 1 |
      | answers with 429 | limited | 1 |
      | answers with 503 | not-done | 1 |
      | answers with 500 | unknown | 1 |
      | answers with 302 | unknown | 1 |
      | does not answer | unknown | 1 |
      | closes the connection without an answer | unknown | 1 |
      | does not listen | not-done | 0 |

  Scenario: A call that a suspension delayed past its deadline is not sent
    Given an API that answers with 200
    When the process is suspended for 5 s before the order is sent
    Then the result is "not-done"
    And the API received 0 calls

  Scenario: The calls carry the holder, the token and what was ordered
    Given an API that answers with 200
    When a report and an order of preemptible upstreams are sent
    Then the API received them as the platform describes them

  Scenario Outline: A row's value of any content is read without an error
    When 400 values drawn as <kind> are decoded as a lease
    Then each is a lease or nothing

    Examples:
      | kind | 
      | bytes |
      | documents |

  Scenario: A response of the store with any numbers is read without an error
    When 600 responses with drawn rows are decoded
    Then each is a lease or nothing
