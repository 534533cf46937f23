Feature: Repeats stay within the bound of all instances while upstreams are silent

  # Guards against instances that each repeat by a figure of their own, whatever all of
  # them together may repeat (BUDGET).
  Scenario Outline: All upstreams are stopped for a time after a change of <change>
    Given a site of 6 instances and 3 upstreams, which may repeat 2 requests in 10 s
    When each instance forwards 4 streams that may be resumed
    And the configuration changes its <change>
    And all upstreams are stopped for 2.2 s
    Then at most 0.2 repeats for each request and 2 more have arrived

    Examples: change
      | change        |
      | idle timeout  |
      | route timeout |
      | routes        |

  # Guards against a stream that is cut at an upstream that is only silent, as it can't be
  # sent to another one (LOST).
  Scenario: Streams that may not be repeated wait for their silent upstreams
    Given a site of 3 instances and 3 upstreams, which may repeat nothing
    And routes that allow 9 s for a response
    When each instance forwards 4 streams that may be resumed
    And all upstreams are stopped for 1.9 s
    Then all callers got their streams whole
    And no request has arrived twice

  # Guards against a second send to an upstream that is as silent as the first one.
  Scenario: Streams wait while all upstreams are silent
    Given a site of 3 instances and 3 upstreams, which may repeat 600 requests in 10 s
    And routes that allow 9 s for a response
    When each instance forwards 8 streams that may be resumed
    And all upstreams are stopped for 1.9 s
    Then all callers got their streams whole
    And no request has arrived twice

  # Guards against callers that wait for an upstream that is silent by itself.
  Scenario: Streams leave the one upstream that is silent and no longer listed
    Given a site of 3 instances and 3 upstreams, which may repeat 600 requests in 10 s
    When each instance forwards 8 streams that may be resumed
    And one upstream is stopped for 6 s, and leaves the list after 1 s
    Then all callers got their streams whole
    And the streams of the stopped upstream have arrived twice
