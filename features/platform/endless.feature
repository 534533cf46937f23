Feature: Responses without an end are cut off

  # Guards against an upstream that sends bytes until the connection is closed: they must
  # not fill the memory, and the caller must hear of it in time.
  Scenario Outline: Bytes without end are cut off
    Given a site whose upstream sends <what> without end
    When a caller sends a non-idempotent request
    Then the caller gets the status 502
    And the caller waited less than 3 s
    And the upstream sent at most 20 MiB before its connection was closed
    And the instance needs at most 100 MiB more memory than before

    Examples:
      | what                  |
      | a head                |
      | a header line         |
      | a body                |
      | a chunked body        |
      | an informational head |
      | a chunk's size        |
      | a chunk's extension   |
      | trailers              |

  Scenario Outline: An event without end is cut off
    Given a site whose upstream sends <what> without end
    When a caller requests a stream that is not delivered
    Then the upstream sent at most 20 MiB before its connection was closed
    And the instance needs at most 100 MiB more memory than before

    Examples:
      | what                         |
      | an event                     |
      | an event in a chunked stream |
