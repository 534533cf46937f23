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
