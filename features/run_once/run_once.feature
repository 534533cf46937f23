Feature: Requests run once, and are told truly, while paths are cut and processes stand still

  # Guards against a second run of a request that may run once, a request that runs although
  # its caller was told that it doesn't, and a stream that two upstreams work on, when
  # several of their causes meet (TWICE, REFUSED).
  Scenario Outline: Paths are cut, and upstreams and instances are stopped, in a drawn order
    Given a site of 4 instances with paths to 3 upstreams in processes of their own
    When 6 requests a second come to each instance for 18 s
    And faults are drawn with the seed <seed> and made meanwhile
    Then at least 100 requests ran that may run once, and none ran twice
    And no request that was told as not run has run
    And no stream was held by two upstreams for more than 0.4 s that its instance reached

    Examples: seeds
      | seed |
      | 1    |
      | 2    |
      | 3    |

  # Guards against a copy of a refusal or of an answer that is believed for another request
  # on its connection, or for the same one at another time (TWICE, REFUSED).
  Scenario Outline: Upstreams refuse requests and copy their responses meanwhile
    Given a site of 4 instances with paths to 3 upstreams that copy their responses
    When 8 requests a second of all kinds come to each instance for 18 s
    And faults are drawn with the seed <seed> and made meanwhile
    Then at least 100 requests ran that may run once, and none ran twice
    And no request that was told as not run has run
    And no stream was held by two upstreams for more than 0.4 s that its instance reached
    And at least 50 refusals and answers were sent twice, not only answers

    Examples: seeds
      | seed |
      | 1    |
      | 2    |
      | 3    |

  # Guards against a part of an early answer, or a head without a valid status, that is
  # taken for an answer (MIXED), and against what follows from it (TWICE, REFUSED).
  Scenario Outline: Upstreams answer early and with invalid statuses meanwhile
    Given a site of 4 instances with paths to 3 upstreams that answer some requests of 60 kB early or with an invalid status
    When 8 requests a second of all kinds come to each instance for 18 s
    And faults are drawn with the seed <seed> and made meanwhile
    Then at least 100 requests ran that may run once, and none ran twice
    And each success is the upstream's own whole answer, and each other one a failure
    And no request that was told as not run has run

    Examples: seeds
      | seed |
      | 1    |
      | 2    |
