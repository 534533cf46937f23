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

  # Guards against parts of early responses that pass for whole ones: an upstream that
  # ends while its request is still being written has not answered that request.
  Scenario Outline: A response without a length ends while its request is being written
    Given an upstream that reads the <read> of a request of <size> kB and responds without a length
    And it then ends the response by <ending>
    When the early response is read by <loop>, which <pace> meanwhile
    Then the response is <verdict>

    Examples: the rest of the request is in the process
      | read | size | ending                        | loop    | pace         | verdict |
      | head | 8000 | the regular end and a reset   | uvloop  | works        | lost    |
      | head | 8000 | the regular end and a reset   | uvloop  | stands still | lost    |
      | head | 8000 | the regular end and a reset   | asyncio | works        | lost    |
      | head | 8000 | the regular end and a reset   | asyncio | stands still | lost    |
      | head | 8000 | the regular end only          | uvloop  | works        | lost    |
      | head | 8000 | the regular end only          | asyncio | works        | lost    |
      | head | 8000 | a reset                       | uvloop  | works        | lost    |
      | head | 8000 | a reset                       | uvloop  | stands still | lost    |
      | head | 8000 | a reset                       | asyncio | stands still | lost    |

    Examples: the rest of the request is in the kernel
      | read | size | ending                        | loop    | pace         | verdict |
      | head | 100  | the regular end and a reset   | uvloop  | works        | lost    |
      | head | 100  | the regular end and a reset   | uvloop  | stands still | lost    |
      | head | 100  | the regular end and a reset   | asyncio | works        | lost    |
      | head | 100  | the regular end only          | uvloop  | works        | lost    |
      | head | 100  | the regular end only          | asyncio | works        | lost    |
      | head | 100  | a reset                       | uvloop  | works        | lost    |
      | head | 100  | a reset                       | uvloop  | stands still | lost    |

    Examples: the request was read
      | read | size | ending                        | loop    | pace         | verdict |
      | body | 100  | the regular end only          | uvloop  | works        | whole   |
      | body | 100  | the regular end only          | asyncio | stands still | whole   |
      | body | 8000 | the regular end only          | uvloop  | works        | whole   |
      | body | 8000 | the regular end and a reset   | uvloop  | stands still | whole   |
      | body | 8000 | the regular end and a reset   | asyncio | works        | whole   |

  # A reset is told once, to the write that fails or to the read.
  Scenario Outline: A write fails before the rest of the response is read
    Given an upstream that sends the rest of a response without a length, then a reset
    When the response is read by <loop>, which stands still and then writes
    Then the response is lost

    Examples:
      | loop    |
      | uvloop  |
      | asyncio |

  Scenario Outline: An early response with a length arrives whole
    Given an upstream that reads the head of a request of 8000 kB and responds with a length
    And it then ends the response by <ending>
    When the early response is read by uvloop, which <pace> meanwhile
    Then the response is whole

    Examples:
      | ending                      | pace         |
      | the regular end and a reset | works        |
      | the regular end and a reset | stands still |
      | the regular end only        | works        |
      | a reset                     | works        |

  Scenario: A response that is shorter than its length is lost
    Given an upstream whose response is shorter than its length
    When the response is read
    Then the response is lost

  Scenario: Bytes after a response are not taken for the response to the next request
    Given an upstream that sends an extra response after each response
    When two requests are sent one after the other
    Then the second request used a new connection
