Feature: An instance that reaches no upstream serves its callers by way of another one

  # Guards against callers that are refused at an instance whose paths to all upstreams are
  # cut, while other instances reach them. Such an instance counts as in service.
  Scenario Outline: Two of three instances are cut off
    Given a site of 3 instances with paths to 4 upstreams
    When the paths of 2 instances are cut so that a connection <how>
    And callers send 20 requests a second to each instance for 7 s
    Then at least 95 in 100 first tries sent later than 3 s after the cut were served
    And no request ran twice that may run once
    And no request that was refused as not run has run
    And each request reached upstreams with its team and without its key

    Examples: ways to cut
      | how     |
      | hangs   |
      | resets  |
      | refuses |

  # Guards against instances that never learn of the others when the store did not list
  # them as the cut began.
  Scenario: The store is away for 2 s when the paths are cut
    Given a site of 3 instances with paths to 4 upstreams
    When the paths of 1 instance are cut so that a connection hangs, and its store is away for 2 s
    And callers send 20 requests a second to each instance for 7 s
    Then at least 95 in 100 first tries sent later than 4 s after the cut were served

  # Guards against streams that wait at upstreams which their instance no longer reaches, as
  # if those were silent.
  Scenario: Streams are in progress when the paths are cut
    Given a site of 2 instances with paths to 4 upstreams
    When callers read 6 streams at 1 instance whose paths are cut so that a connection hangs
    Then each of these streams is whole

  # Guards against instances that keep using others when their own paths are back.
  Scenario: The paths are back
    Given a site of 3 instances with paths to 4 upstreams
    When the paths of 1 instance are cut so that a connection hangs
    And callers send 20 requests a second to each instance for 4 s
    And the paths are back
    And 3 s pass
    And callers send 20 requests a second to each instance for 2 s
    Then at least 95 in 100 of the last requests were served
    And the instances that were cut off sent the last requests by their own paths

  # Guards against requests that wait, or go round, when no instance reaches an upstream.
  Scenario: All instances are cut off
    Given a site of 3 instances with paths to 4 upstreams
    When the paths of 3 instances are cut so that a connection hangs
    And callers send 10 requests a second to each instance for 5 s
    Then each request sent later than 3 s after the cut got the status 503 within 0.5 s
    And no request that was refused as not run has run

  # Guards against work that goes on at an upstream for a caller who has left.
  Scenario: A caller leaves a stream that goes by way of another instance
    Given a site of 2 instances with paths to 4 upstreams
    When the paths of 1 instance are cut so that a connection hangs
    And callers send 20 requests a second to each instance for 4 s
    And a caller of an instance that is cut off leaves a long stream after 2 events
    Then the upstream's connection for that stream is closed within 0.5 s

  # Guards against responses without a length that are lost on the way by another instance,
  # and against truncated ones that look whole after the second connection.
  Scenario Outline: A response without a length goes by way of another instance
    Given a site of 2 instances with paths to 4 upstreams
    And the responses of the upstreams have no length
    When the paths of 1 instance are cut so that a connection hangs
    And callers send 20 requests a second to each instance for 4 s
    And a caller of the instance that is cut off requests <what>
    Then the caller got the status <status> and <events> events
    And the connection ended <verdict>

    Examples:
      | what                                           | status | events | verdict    |
      | /stream/x, which is complete                   | 200    | 5      | regularly  |
      | /send/x, which is complete                     | 200    | 5      | regularly  |
      | /stream/x, which its upstream resets           | 200    | 2      | by a reset |
      | /stream/x, and the other instance is killed    | 200    | 1      | by a reset |
      | /send/x, which its upstream resets             | 502    | 0      | regularly  |

  # Guards against anybody who can connect using an instance without a key.
  # Guards against a part of an early response, or a head without a valid status, that looks
  # like an answer after the second connection.
  Scenario Outline: An early or invalid response goes by way of another instance
    Given a site of 2 instances with paths to 4 upstreams
    And the upstreams answer the head of each upload with <answer>
    When the paths of 1 instance are cut so that a connection hangs
    And callers send 20 requests a second to each instance for 4 s
    And a caller of the instance that is cut off uploads 90 kB to <path>
    Then the caller got the status <status> and <events> events
    And the connection ended <verdict>

    Examples:
      | answer                                 | path      | status | events | verdict    |
      | a part of a 200 without a length       | /send/x   | 502    | 0      | regularly  |
      | the status 000 and a length            | /send/x   | 502    | 0      | regularly  |
      | a stream without a length and an event | /stream/x | 200    | 1      | by a reset |
      | the status 000 and a length            | /stream/x | 502    | 0      | regularly  |

  Scenario: A stranger asks an instance for help
    Given a site of 2 instances with paths to 4 upstreams
    When the paths of 1 instance are cut so that a connection hangs
    And callers send 20 requests a second to each instance for 4 s
    And a stranger sends a borrowed request to the other instance
    Then the stranger is refused and no upstream got its request
