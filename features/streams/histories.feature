Feature: Instances know at which software version a stream began

  # Guards against streams that go on at another version, and against streams that are
  # refused though upstreams of their version serve.
  Scenario Outline: Drawn histories keep both rules
    Given histories of <instances> instances and <upstreams> upstreams with <rate> streams a second in which <what>
    When the histories of <count> seeds are played
    Then in each at most 2 streams went on at another version
    And of the streams that were taken up, while two upstreams of their version served, at least half as many went on as of the new ones began

    Examples: 7 instances
      | instances | upstreams | rate | count | what                                                    |
      | 7         | 9         | 80   | 4     | upstreams are killed during a rollout                   |
      | 7         | 9         | 80   | 4     | instances and upstreams are killed during a fast rollout |
      | 7         | 9         | 80   | 4     | instances and upstreams are killed during a slow rollout |
      | 7         | 9         | 80   | 4     | three versions serve and instances are killed           |
      | 7         | 9         | 80   | 4     | a rollout goes back to the first version                |
      | 7         | 9         | 80   | 4     | a third of the messages is lost and instances are killed |
      | 7         | 9         | 80   | 4     | some instances are cut off from the store               |
      | 7         | 9         | 80   | 4     | lists come late                                         |

    Examples: more instances
      | instances | upstreams | rate | count | what                                                    |
      | 60        | 30        | 120  | 2     | instances and upstreams are killed during a fast rollout |
      | 195       | 37        | 150  | 1     | instances and upstreams are killed during a fast rollout |
      | 195       | 37        | 150  | 1     | some instances are cut off from the store               |

  # Shows that the histories would break the rule.
  Scenario: Streams go on anywhere if nothing is known
    Given histories of 7 instances and 9 upstreams with 80 streams a second in which nothing is known
    When the histories of 2 seeds are played
    Then in each more than 2 streams went on at another version

  # Guards against messages where all upstreams have one version.
  Scenario: One version serves
    Given histories of 7 instances and 9 upstreams with 80 streams a second in which one version serves
    When the histories of 2 seeds are played
    Then in each no message was sent
