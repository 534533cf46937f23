Feature: The speed of each upstream is learned and forgotten

  # Guards against estimates that depend on the sizes that an upstream gets.
  Scenario: Slow upstreams are told from fast ones whatever they are sent
    Given 84 instances before 45 upstreams, seed 5
    When 450 requests a second arrive for 8 s
    Then the learned slowness of each upstream is within a factor of 1.4 of the truth

  # Guards against estimates that outlive the state that they describe.
  Scenario: A change of speed is followed within seconds
    Given 84 instances before 45 upstreams, seed 5
    When 450 requests a second arrive for 6 s
    And upstream u-3 becomes 2.5 times slower
    And 450 requests a second arrive for 6 s
    Then the learned slowness of u-3 is at least 1.6
    And in the last 3 s u-3 gets at most 0.8 times the mean of the other fast ones
    When upstream u-3 becomes 0.4 times slower
    And 450 requests a second arrive for 8 s
    Then the learned slowness of u-3 is at most 1.4

  # Guards against new upstreams that are flooded as they look idle, or left out.
  Scenario: A new upstream begins at the median
    Given 84 instances before 45 upstreams, seed 5
    When 450 requests a second arrive for 5 s
    And upstream u-new of speed 0.7 is listed
    Then the learned slowness of u-new is at most 1.01
    And the learned slowness of u-new is at least 0.99
    When 450 requests a second arrive for 4 s
    Then in the last 4 s u-new gets at most 1.8 times the mean of the other fast ones
    And in the last 4 s u-new gets at least 0.2 times the mean of the other fast ones

  # Guards against an upstream that attracts requests by failing early.
  Scenario: An upstream that is fast because it fails gets no credit
    Given 84 instances before 45 upstreams, seed 5
    When 450 requests a second arrive for 5 s
    And upstream u-5 begins to break streams off early
    And 450 requests a second arrive for 5 s
    Then the learned slowness of u-5 is at least 0.9

  # Guards against ejecting an upstream for its slowness.
  Scenario: A slow upstream still gets requests
    Given 84 instances before 45 upstreams, seed 5
    When 600 requests a second arrive for 8 s
    Then each upstream gets requests in the last 4 s

  # Guards against estimates that stay after the last observation.
  Scenario: Without observations an estimate returns to the median
    Given a service with one slow upstream, learned from 40 observations
    Then its slowness is at least 1.8 at once
    And its slowness is at most 1.15 after 30 s

  # Guards against a limit that a queue drives up, or that falls without any delay.
  Scenario Outline: The concurrency limit follows the delay
    Given an upstream of 12 slots with 40 first tokens at a load of <load>, <ratio> times the usual time
    Then its limit is between <lowest> and <highest>

    Examples:
      | load | ratio | lowest | highest |
      | 3    | 1     | 12     | 12      |
      | 8    | 1     | 12     | 13      |
      | 12   | 1     | 12     | 14      |
      | 12   | 6     | 6      | 9       |
      | 18   | 6     | 8      | 13      |
      | 18   | 1     | 12     | 16      |

  # Guards against sums that are counted twice, and messages that carry impossible ones.
  Scenario: Repeated and lost sums don't change the totals
    Given three instances that observed an upstream 10 times each
    When the first receives the sums of the others 3 times
    Then its total has the weight of 30 observations
    And after the totals are received twice each instance counts 30 observations

  Scenario Outline: Impossible sums and reports in messages are ignored
    Given three instances that observed an upstream 10 times each
    When the first receives sums of <sums>, a load of <load> and a pace of <pace>
    Then its total has the weight of 10 observations
    And the load of the upstream is unknown

    Examples:
      | sums               | load | pace  |
      | 1,-1,0,0,0,0       | -1   | 1.0   |
      | nan,1,0,0,0,0      | 5    | nan   |
      | 1,1                | 5    | 0     |
      | 1e9,1,0,0,0,0      | 5    | 1e9   |
      | inf,inf,inf,0,0,0  | 5    | inf   |
