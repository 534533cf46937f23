Feature: A listener bounds its connections

  Scenario: One connection too many is closed and counted, and the others go on
    Given a listener that takes 2 connections
    When 3 connections are opened
    Then the last one is closed and counted once
    And the first one is answered
    When the first one is closed
    Then a new one is answered

  Scenario Outline: A head that two readers could take differently is not well formed
    Then the head line "<line>" is <verdict>

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
