Feature: A listener limits its connections

  Scenario: A connection above the limit is closed and counted when no other one is idle
    Given a listener that accepts at most 2 connections
    When 2 connections are opened and send a part of a request
    And 1 connections are opened
    Then the last connection is closed and counted once
    And the first connection receives a response to the whole request
    When the first connection is closed
    Then a new connection receives a response

  # Guards against idle connections that take the places of all other callers.
  Scenario: A connection above the limit takes the place of the one that is idle for longest
    Given a listener that accepts at most 2 connections
    When 3 connections are opened
    Then the first connection is closed, and none was refused
    And the last connection receives a response
    And the second connection receives a response

  Scenario Outline: A head that HTTP parsers can interpret differently is not well formed
    Then the header line "<line>" is <verdict>

    Examples:
      | line                    | verdict         |
      | Content-Length: 5       | well formed     |
      | content-length:5        | well formed     |
      | X-Name: ünïcode value   | well formed     |
      | X-Empty:                | well formed     |
      | Content-Length : 5      | not well formed |
      | Content-Length: 5, 5    | not well formed |
      | Content-Length: 0x5     | not well formed |
      | Content-Length:         | not well formed |
      | X-Feed: a<LF>b: c       | not well formed |
      | X-Return: a<CR>b: c     | not well formed |
      | X-Null: a<NUL>          | not well formed |
      | folded: a<CRLF> b       | not well formed |
      | no colon                | not well formed |
