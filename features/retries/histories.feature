Feature: The repeats of all instances stay within one bound

  The bound holds in each window: a ratio of the callers' requests for a service, in that
  window, the one before or the one half a window before, and a number in addition.

  # Guards against a budget of each instance whose sum over all instances, over restarts
  # or over a window is larger than the bound (BUDGET).
  Scenario Outline: <instances> instances, <extra> repeats in addition, <disturbance>
    Given <instances> instances with <rate> requests a second each, which may repeat 0.2 of them and <extra> in 10 s
    When 60 s pass with <disturbance>
    Then no window has more repeats than the bound

    Examples: sites as they are
      | instances | rate | extra | disturbance                                    |
      | 7         | 12   | 54    | 0.3 of all sends failing                       |
      | 7         | 12   | 54    | all upstreams silent for 1.6 s each 6 s        |
      | 7         | 12   | 54    | all failing and each instance replaced in turn |
      | 60        | 4    | 174   | 0.3 of all sends failing                       |
      | 60        | 4    | 174   | all upstreams silent for 1.6 s each 6 s        |
      | 60        | 4    | 174   | all failing and each instance replaced in turn |
      | 195       | 5    | 430   | 0.3 of all sends failing                       |
      | 195       | 5    | 430   | all upstreams silent for 1.6 s each 6 s        |
      | 195       | 5    | 430   | all failing and each instance replaced in turn |

    Examples: few requests and a small number
      | instances | rate | extra | disturbance                                       |
      | 7         | 0.2  | 4     | all upstreams silent for 1.6 s each 6 s           |
      | 60        | 0.2  | 10    | all upstreams silent for 1.6 s each 6 s           |
      | 195       | 0.2  | 20    | all upstreams silent for 1.6 s each 6 s           |
      | 7         | 2    | 4     | all failing and each instance crashing each 3 s   |
      | 60        | 2    | 10    | all failing and each instance crashing each 3 s   |
      | 60        | 1    | 10    | all failing in two bursts of requests 9.7 s apart |

  # Guards against a bound that two builds break which each keep it.
  Scenario Outline: <builds> the build before this one, <instances> instances, <disturbance>
    Given <instances> instances with <rate> requests a second each, which may repeat 0.2 of them and <extra> in 10 s
    And <builds> the build before this one
    When 60 s pass with <disturbance>
    Then no window has more repeats than the bound

    Examples: side by side, and replaced
      | builds                    | instances | rate | extra | disturbance                                             |
      | half of the instances run | 7         | 12   | 54    | 0.3 of all sends failing                                |
      | half of the instances run | 7         | 12   | 54    | all upstreams silent for 1.6 s each 6 s                 |
      | all instances run         | 7         | 12   | 54    | 0.3 of all sends failing and each instance replaced in turn |
      | all instances run         | 7         | 12   | 54    | all failing and each instance replaced in turn              |
      | half of the instances run | 60        | 4    | 174   | 0.3 of all sends failing                                |
      | half of the instances run | 60        | 4    | 174   | all upstreams silent for 1.6 s each 6 s                 |
      | all instances run         | 60        | 4    | 174   | 0.3 of all sends failing and each instance replaced in turn |
      | all instances run         | 60        | 4    | 174   | all failing and each instance replaced in turn              |
      | half of the instances run | 195       | 5    | 430   | 0.3 of all sends failing                                |
      | half of the instances run | 195       | 5    | 430   | all upstreams silent for 1.6 s each 6 s                 |
      | all instances run         | 195       | 5    | 430   | 0.3 of all sends failing and each instance replaced in turn |
      | all instances run         | 195       | 5    | 430   | all failing and each instance replaced in turn              |

  # Guards against a budget that keeps its bound by repeating nothing.
  Scenario Outline: Most failures are repeated while few sends fail, at <instances> instances
    Given <instances> instances with <rate> requests a second each, which may repeat 0.2 of them and <extra> in 10 s
    When 60 s pass with 0.05 of all sends failing
    Then at least 0.9 of the failed sends were repeated

    Examples: site
      | instances | rate | extra |
      | 7         | 12   | 54    |
      | 60        | 4    | 174   |
      | 195       | 5    | 430   |
