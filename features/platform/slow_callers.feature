Feature: The memory held for callers that read slowly is bounded

  # Guards against an instance of 160 MB that buffers what slow callers don't read: reading
  # from the upstream has to pause, and what the kernel doesn't take must not pile up.
  Scenario: Callers that read nothing of large streams don't grow the process
    Given a site that streams 64 MiB in events
    When 20 callers request the stream and read nothing for 3 s
    Then the upstream wrote at most 16 MiB for each of them
    And the instance needs at most 30 MiB more memory than before

  # Guards against connections, and what they buffer, that outlive the deadline of their
  # request, as a closed transport waits until its caller has read everything.
  Scenario: Callers that read nothing are disconnected after the deadline
    Given a site that streams 64 MiB in events
    When 20 callers request the stream and read nothing for 3 s
    Then the instance has closed all of their connections within 8 s

  # The same where the whole stream fits into the buffers on the way.
  Scenario: Callers that don't read the end of a stream are disconnected
    Given a site that streams 7 MiB in events
    When 5 callers request the stream and read nothing for 3 s
    Then the instance has closed all of their connections within 12 s

  # Guards against cutting off a caller that is slow but reads.
  Scenario: A slow caller gets the whole stream
    Given a site that streams 12 MiB in events
    When a caller reads the stream at 5 MiB a second
    Then it gets all of the stream
