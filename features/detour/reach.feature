Feature: An instance decides from few failed connections whether it reaches a service

  # Guards against single failures, crashed upstreams and pauses that pass for a cut, and
  # against a cut that is found too late.
  Scenario Outline: Failures give cause for a check
    Given an upstream that responded <contact> s ago
    When connections to <failed> upstreams failed
    Then the paths are <checked>

    Examples: failures
      | contact | failed | checked     |
      | 0.2     | 1      | not checked |
      | 0.2     | 2      | checked     |
      | 0.8     | 1      | checked     |
      | 0.8     | 0      | not checked |

  Scenario Outline: Only a check in which no upstream accepts a connection shows a cut
    When a check reaches <reached> of <tried> upstreams
    Then the service is <state>

    Examples: results
      | reached | tried | state   |
      | 0       | 6     | lost    |
      | 1       | 6     | reached |
      | 0       | 0     | reached |

  # Guards against an instance that takes a path which comes and goes for sound.
  Scenario: Two probes in a row end a cut
    When a check reaches 0 of 6 upstreams
    And the probes end as "reached,failed,reached"
    Then the service is lost
    When the probes end as "reached"
    Then the service is reached

  # Guards against a sample without the upstreams of the own data centre.
  Scenario: A check connects to upstreams of each data centre
    Given 30 upstreams in each of 3 data centres
    Then each of 200 checks connects to 4 of each data centre

  # Guards against all borrowed requests going to one instance, and against instances of
  # other data centres while some of the own one help.
  Scenario Outline: Borrowed requests are spread
    Given <instances> instances in 3 data centres of which <cut> are cut off
    When each of these sends <requests> requests
    Then at least 95 in 100 requests find an instance that helps
    And no instance gets more than <most> times the mean of those that help in its data centre

    Examples: sizes
      | instances | cut | requests | most |
      | 7         | 4   | 60       | 1.5  |
      | 60        | 30  | 60       | 2    |
      | 195       | 98  | 40       | 2    |

  # Guards against callers that are refused in a data centre of which all or most
  # instances are cut off, while those of other data centres help.
  Scenario Outline: Most of a data centre is cut off
    Given <instances> instances in 3 data centres
    And <share> in 100 of the instances of one data centre are cut off
    When each of these sends 6 requests a second for 8 s
    Then at least 95 in 100 requests sent later than 3 s find an instance that helps
    And no request asks more than 8 instances
    And no instance gets more than 2 times the mean of those in its data centre, if that is 20

    Examples: sizes
      | instances | share |
      | 7         | 100   |
      | 60        | 50    |
      | 60        | 90    |
      | 60        | 100   |
      | 76        | 90    |
      | 76        | 100   |
      | 195       | 90    |
      | 195       | 100   |

  Scenario Outline: Most of all instances are cut off
    Given <instances> instances in 3 data centres
    And <share> in 100 of all instances are cut off
    When each of these sends 6 requests a second for 8 s
    Then at least 95 in 100 requests sent later than 3 s find an instance that helps
    And no request asks more than 8 instances

    Examples: sizes
      | instances | share |
      | 60        | 60    |
      | 60        | 80    |
      | 76        | 80    |
      | 195       | 80    |

  Scenario: A call travels without its caller's key, and no further
    Given a call of the team "agents" whose stream began at "v1" and has 3 s left
    When it is decoded by another instance after 0.5 s
    Then it has 3 s left there, runs once at most and is sent no further
    And it resumes its stream after the event "7" at "v1"
    And neither the call nor its encoding has the key "secret-key"

  Scenario Outline: What is no call is refused
    When another instance sends "<content>"
    Then that is no call

    Examples: contents
      | content |
      |         |
      | {}      |
      | x       |
