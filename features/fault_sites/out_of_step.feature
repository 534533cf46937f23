Feature: An instance that was out of step during a release joins no streams

  # Guards against an instance that takes what it has seen of the list for the present: it
  # stood still while the second version came, and serves its callers first.
  Scenario: An instance stands still while the second version comes
    Given a site of 2 instances with the upstreams "a=v1,b=v1"
    When 11 s pass, after which the instances judge by what they have seen
    And the other instance stands still while the upstreams "c=v2,d=v2" come and callers read 24 streams of "/once/x", until the first instance is killed
    And the callers take up their streams at the other instance as it goes on
    Then no stream has events of two versions
    And at least 12 streams are whole

  # Guards against the same at an instance that is cut off from the store and from the
  # instance that began the streams.
  Scenario Outline: An instance is cut off while the second version comes
    Given a site of 2 instances with stores of their own and the upstreams "a=v1,b=v1"
    When 11 s pass, after which the instances judge by what they have seen
    And the other instance loses its store while the upstreams "c=v2,d=v2" come and callers read 24 streams of "/once/x", until the first instance is killed
    And the callers take up their streams <how>
    Then no stream has events of two versions

    Examples:
      | how                                  |
      | at the other instance                |
      | without naming their first request   |

  # The same with callers that don't name the first request of their stream.
  Scenario: An instance stands still, and no caller names its first request
    Given a site of 2 instances with the upstreams "a=v1,b=v1"
    When 11 s pass, after which the instances judge by what they have seen
    And the other instance stands still while the upstreams "c=v2,d=v2" come and callers read 24 streams of "/once/x", until the first instance is killed
    And the callers take up their streams as it goes on, without naming their first request
    Then no stream has events of two versions
