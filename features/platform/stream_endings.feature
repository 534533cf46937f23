Feature: Streams that end inside an event are broken off, with and without a length

  # Guards against streams that look complete to the caller although their upstream broke
  # off: a response that has neither a length nor chunks ends with its connection.
  Scenario Outline: A stream without a length ends with its connection
    Given a site whose upstream streams 2 events without a length and ends <how>
    When a caller requests a stream and reads to the end of the connection
    Then the connection ended <verdict>
    And the caller received the 2 events

    Examples:
      | how                    | verdict     |
      | by closing             | regularly   |
      | inside the third event | by a reset  |

  Scenario: A reset after whole events is passed on as a reset
    Given a site whose upstream streams 2 events without a length and ends by a reset
    When a caller requests a stream and reads to the end of the connection
    Then the connection ended by a reset

  # Guards against truncated streams that look whole: the event loop reports a regular end
  # when a reset arrives together with the last bytes, as at an instance that stood still.
  Scenario Outline: A reset arrives together with the last events
    Given a site whose upstream ends a stream without a length <how> while the instance stands still
    When a caller requests a stream and reads to the end of the connection
    Then the connection ended <verdict>

    Examples:
      | how        | verdict    |
      | by closing | regularly  |
      | by a reset | by a reset |

  # Guards against truncated streams that look whole because the instance ends: the kernel
  # closes the connections of a process that was killed.
  Scenario Outline: A stream without a length is interrupted at the instance
    Given a site whose upstream streams 1000 events without a length, one each 20 ms
    When a caller requests a stream, and after 5 events the instance <what>
    Then the connection ended by a reset
    And the caller received the 5 events

    Examples:
      | what                     |
      | is killed                |
      | is told to stop          |
      | is only left to go on    |

  # Guards against the end of a chunked stream that is taken for whole.
  Scenario: A chunked stream that ends inside an event is cut
    Given a site whose upstream ends a chunked stream inside its third event
    When a caller requests a stream
    Then the response is cut

  Scenario: A resumable stream without a length is resumed after its last whole event
    Given a site whose upstream streams 2 events without a length and ends inside the third event
    And another upstream that resumes after the last event
    When 2 callers request resumable streams
    Then each caller got 4 events in order

  # Guards against callers whose connection is closed without any response.
  Scenario: A stream that breaks off before its first event gets an error response
    Given a site whose upstream breaks off each stream before its first event
    When a caller requests a stream
    Then the caller gets the status 502

  Scenario: A resumable stream that breaks off before its first event is repeated
    Given a site whose upstream breaks off each stream before its first event
    And another upstream that resumes after the last event
    When 2 callers request resumable streams
    Then each caller got 4 events in order

  # Guards against a failure that the caller gets although the route allows one more
  # attempt, because the failure has the content type of a stream.
  Scenario Outline: A failure with the type of a stream is repeated as any other
    Given a site whose upstream fails with the type of a stream <how>
    And another upstream that resumes after the last event
    When 2 callers request resumable streams
    Then each caller got 4 events in order

    Examples:
      | how               |
      | and an empty body |
      | and an event      |

  Scenario: A failure with the type of a stream that can't be repeated is passed on
    Given a site whose upstream fails with the type of a stream and an event
    When a caller requests a stream
    Then the caller gets the status 500
    And the response has the upstream's signature
    And the response is whole
