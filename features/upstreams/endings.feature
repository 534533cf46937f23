Feature: Truncated responses of upstreams are detected

  Scenario Outline: A response without a length ends when its connection closes
    Given an upstream that ends a response without a length by a <ending>
    When the response is read
    Then the response is <verdict>

    Examples:
      | ending | verdict |
      | close  | whole   |
      | reset  | lost    |

  # Guards against truncated responses that pass for whole ones: a reset that arrives
  # together with the last bytes is reported as a regular end by the event loop.
  Scenario Outline: The last bytes and the end arrive in one turn of the event loop
    Given an upstream that sends the rest of a response without a length, then a <ending>
    When the response is read by <loop>, which stands still meanwhile
    Then the response is <verdict>

    Examples:
      | ending                 | loop    | verdict |
      | close                  | uvloop  | whole   |
      | reset                  | uvloop  | lost    |
      | close and then a reset | uvloop  | whole   |
      | close                  | asyncio | whole   |
      | reset                  | asyncio | lost    |

  Scenario: A response that is shorter than its length is lost
    Given an upstream whose response is shorter than its length
    When the response is read
    Then the response is lost

  Scenario: Bytes after a response are not taken for the response to the next request
    Given an upstream that sends an extra response after each response
    When two requests are sent one after the other
    Then the second request used a new connection
