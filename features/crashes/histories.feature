Feature: Requests that crash upstreams are found from the reports of all instances

  # A part has to be known after its fifth crash, a request after its third.
  # Guards against instances that each allow some crashes, against blocks of what sound
  # requests contain, and against reports that come late, twice or not at all.
  Scenario Outline: Drawn histories keep both rules
    Given histories of <instances> instances and <upstreams> upstreams in which <what>
    When the histories of <count> seeds are played
    Then at most 3 requests with a bad content were sent later than 3 s after it had to be known
    And from 6 s after the crashes on at least 9 in 10 sound requests of each first part were sent

    Examples: 7 instances
      | instances | upstreams | count | what                                           |
      | 7         | 9         | 12    | one part is bad                                |
      | 7         | 9         | 12    | one request is bad                             |
      | 7         | 9         | 12    | a part and a request are bad, and upstreams are killed |
      | 7         | 9         | 12    | two parts are bad at once                      |
      | 7         | 9         | 12    | a bad part always comes with a sound one       |
      | 7         | 9         | 12    | a part turns bad after many good responses     |
      | 7         | 9         | 12    | upstreams are killed and instances are cut off |
      | 7         | 9         | 12    | messages are lost and instances restart        |

    Examples: more instances
      | instances | upstreams | count | what                                           |
      | 60        | 45        | 3     | two parts are bad at once                      |
      | 60        | 45        | 3     | upstreams are killed and instances are cut off |
      | 60        | 45        | 3     | one request is bad                             |
      | 195       | 37        | 2     | one part is bad                                |
      | 195       | 37        | 2     | one request is bad                             |
      | 195       | 37        | 2     | messages are lost and instances restart        |

  # Guards against a sound first part that stays blocked, as no instance had served it
  # before the crashes and no request with it is sent afterwards. Half of its requests is
  # what callers are promised.
  Scenario Outline: Nothing speaks for a sound part before the crashes
    Given histories of <instances> instances and <upstreams> upstreams in which a bad part comes from the start with a sound one, beside few other requests
    When the histories of 24 seeds are played
    Then at most 3 requests with a bad content were sent later than 3 s after it had to be known
    And from 6 s after the crashes on at least 5 in 10 sound requests of each first part were sent

    Examples: sizes
      | instances | upstreams |
      | 2         | 9         |
      | 7         | 9         |

  # Guards against a sound first part that stays blocked because one crash more than
  # those of the bad part accuses it, such as that of a killed upstream.
  Scenario Outline: Nothing speaks for a sound part, and upstreams end for other reasons
    Given histories of <instances> instances and <upstreams> upstreams in which a bad part comes from the start with a sound one, beside few other requests, and <what>
    When the histories of 24 seeds are played
    Then at most 3 requests with a bad content were sent later than 3 s after it had to be known
    And from 6 s after the crashes on at least 5 in 10 sound requests of each first part were sent

    Examples: faults
      | instances | upstreams | what                                            |
      | 2         | 9         | upstreams are killed                            |
      | 7         | 9         | upstreams are killed                            |
      | 2         | 9         | instances are cut off                           |
      | 7         | 9         | upstreams are killed and instances start again  |

  # Guards against blocks for crashes that no request caused.
  Scenario Outline: Kills and cuts alone block nothing for long
    Given histories of <instances> instances and <upstreams> upstreams in which no part is bad, upstreams are killed and instances are cut off
    When the histories of 6 seeds are played
    Then at least 99 in 100 requests were sent

    Examples: sizes
      | instances | upstreams |
      | 7         | 9         |
      | 60        | 45        |
