Feature: Chunked request bodies are decoded whatever the size of their chunks

  # Guards against a body that is decoded wrongly because of how its bytes arrive, and
  # against bytes of the next request that are taken for a part of it.
  Scenario Outline: A body arrives in pieces
    When a body of 1000 bytes in chunks of <chunk> arrives in pieces of <piece>
    Then the decoded body is the one that was sent
    And what follows it stays in the buffer

    Examples:
      | chunk | piece |
      | 1     | 1     |
      | 1     | 7     |
      | 1     | 10000 |
      | 3     | 1     |
      | 999   | 5     |
      | 1000  | 10000 |

  # Guards against a step that keeps all other callers waiting.
  Scenario: A step ends after a number of chunks
    When 100 chunks of 1 byte are decoded in steps of 30 chunks
    Then the steps have decoded 30, 30, 30 and 10 bytes

  # Guards against request smuggling, and against bodies without a bound.
  Scenario Outline: A body is not valid
    When a body that is <what> is decoded
    Then it is <verdict>

    Examples:
      | what                        | verdict   |
      | with a sign before a size   | not valid |
      | with a size of no digits    | not valid |
      | with a size in underscores  | not valid |
      | without a line end          | not valid |
      | with a size line of 80 bytes | not valid |
      | with a trailer              | not valid |
      | over its bound              | too large |
      | over its bound at once      | too large |
      | with an extension           | decoded   |
