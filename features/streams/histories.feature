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

  # Guards against streams that began at upstreams of a new version and go on at an old one
  # by way of an instance that was cut off, or stood still, as the new version came.
  Scenario Outline: Instances are out of step during a rollout
    Given histories of <instances> instances and <upstreams> upstreams with <rate> streams a second in which <what>
    When the histories of <count> seeds are played
    Then in each no stream went on at another version
    And of the streams that were taken up, while two upstreams of their version served, at least half as many went on as of the new ones began

    Examples:
      | instances | upstreams | rate | count | what                                                        |
      | 7         | 9         | 80   | 4     | instances are cut off from all others                       |
      | 7         | 9         | 80   | 4     | instances are cut off from all others during a fast rollout |
      | 7         | 9         | 80   | 4     | instances stand still                                       |
      | 7         | 9         | 80   | 4     | instances stand still during a slow rollout                 |
      | 60        | 30        | 120  | 2     | instances are cut off from all others                       |
      | 60        | 30        | 120  | 2     | instances stand still                                       |
      | 195       | 37        | 150  | 1     | instances are cut off from all others                       |
      | 195       | 37        | 150  | 1     | instances stand still                                       |

  # Shows that the histories would break the rule.
  Scenario: Streams go on anywhere if nothing is known
    Given histories of 7 instances and 9 upstreams with 80 streams a second in which nothing is known
    When the histories of 2 seeds are played
    Then in each more than 2 streams went on at another version

  # Guards against messages and calls where all upstreams have one version.
  Scenario: One version serves
    Given histories of 7 instances and 9 upstreams with 80 streams a second in which one version serves
    When the histories of 2 seeds are played
    Then in each no message was sent, and the version was registered and nothing else

  # Guards against streams that go on at another version because no instance is left that
  # knows of the first one, also where the store lost the records or didn't take them.
  Scenario Outline: All instances end at once
    Given histories of 7 instances and 9 upstreams with 80 streams a second in which <what>
    When the histories of 2 seeds are played
    Then in each no stream went on at another version

    Examples:
      | what                                            |
      | all instances end before a fast rollout         |
      | all instances end twice                         |
      | the store is restored as all instances end      |
      | the store is unavailable when all instances end |
      | nothing can be recorded and all instances end   |

  # Guards as well against a loss of all origins: the streams of the version that serves go on.
  Scenario Outline: All instances end at once, and most streams whose version serves go on
    Given histories of 7 instances and 9 upstreams with 80 streams a second in which <what>
    When the histories of 2 seeds are played
    Then in each no stream went on at another version
    And of the streams that were taken up, while two upstreams of their version served, at least half as many went on as of the new ones began

    Examples:
      | what                                           |
      | all instances end during a rollout             |
      | all instances end at the end of a rollout      |
      | all instances end after a rollout              |
      | all instances end after a slow rollout         |
      | the store is restored before all instances end |

  # Guards against objects that stay in the store.
  Scenario: The records are removed after a rollout, also by instances that started later
    Given histories of 7 instances and 9 upstreams with 80 streams a second in which all instances end during a rollout and much later
    When the histories of 1 seeds are played
    Then in each no stream went on at another version
    And no object is left in the store

  # Guards against refusals where one version serves, by instances that have seen too little
  # of it, also when the deployment is younger than the time that they would have to see.
  Scenario Outline: All instances end while one version serves
    Given histories of 7 instances and 9 upstreams with 80 streams a second in which <what>
    When the histories of 2 seeds are played
    Then each stream that was taken up went on
    And each start of an instance made at most 2 calls to read records
    And nothing but the version's registration was written

    Examples:
      | what                                                |
      | all instances end while one version serves          |
      | all instances end soon after the deployment's start |

  # Guards against refusals where one version serves, by instances that are as young as the
  # deployment, because an upstream of that version was lost (review/13).
  Scenario Outline: A young deployment loses upstreams and instances while one version serves
    Given histories of 7 instances and 9 upstreams with 80 streams a second in which <what>
    When the histories of 3 seeds are played
    Then each stream that was taken up went on

    Examples:
      | what                                                                         |
      | upstreams and instances are killed soon after the deployment's start         |
      | upstreams are killed and all instances end soon after the deployment's start |

  # Guards against origins that are told to instances that are gone (review/12).
  Scenario Outline: Instances were replaced before, and their entries are still listed
    Given histories of <instances> instances and 9 upstreams with 80 streams a second in which <what>
    When the histories of 3 seeds are played
    Then in each at most 2 streams went on at another version
    And of the streams that were taken up, while two upstreams of their version served, at least half as many went on as of the new ones began

    Examples:
      | instances | what                                               |
      | 3         | instances are killed, and 60 were replaced before  |
      | 3         | instances are killed, and 200 were replaced before |

  # Guards against an instance that takes those for gone from which it is cut off itself.
  Scenario: Instances are cut off, and others were replaced before
    Given histories of 7 instances and 9 upstreams with 80 streams a second in which instances are cut off, and 60 were replaced before
    When the histories of 3 seeds are played
    Then in each no stream went on at another version

  # Guards against trust in registrations beside a release that writes none, and where a
  # restore has undone them, or an upstream has been replaced under its name.
  Scenario Outline: The registrations don't prove that one version has served
    Given histories of 7 instances and 9 upstreams with 80 streams a second in which <what>
    When the histories of 3 seeds are played
    Then in each no stream went on at another version

    Examples:
      | what                                                                   |
      | upstreams and instances of two releases are killed soon after the start |
      | all upstreams are replaced under their names and all instances end     |
      | all upstreams are replaced under their names after a restore           |

  # Guards against a version that counts as one that left long ago although it serves again.
  Scenario: A version that an instance saw long ago is listed again
    Given an instance that saw "v1" leave 100 s ago and lists "v2"
    When it learns that "v1" is listed
    Then within the last 20 s it knows "v1,v2"
    And it has seen the list for longer than 50 s

  Scenario: A version that an instance has never seen is listed
    Given an instance that saw "v1" leave 100 s ago and lists "v2"
    When it learns that "v3" is listed
    Then within the last 20 s it knows "v2,v3"
    And it has seen the list from now on only
