Feature: Responses without an end cost only their own requests

  # Guards against an instance whose memory or processor time is taken up by the bytes of
  # one faulty upstream: the requests of all other callers end with it (LOST).
  Scenario Outline: Many responses without an end come at once
    Given a site with a sound upstream, and one that sends <what> without end
    When <count> requests go to the faulty upstream at once, beside sound ones each 50 ms
    Then at least 19 of 20 sound requests were served
    And the instance runs, and has needed at most 250 MB of memory

    Examples: what has no end
      | what                         | count |
      | a body                       | 40    |
      | a body                       | 150   |
      | a chunked body               | 40    |
      | an informational head        | 40    |
      | an informational head        | 150   |
      | a chunk's size               | 40    |
      | a chunk's extension          | 40    |
      | trailers                     | 40    |
      | a head                       | 40    |
      | a header line                | 40    |
      | bytes after a whole response | 40    |
      | an event                     | 40    |
      | an event                     | 150   |
      | an event in a chunked stream | 40    |
