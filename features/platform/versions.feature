Feature: A stream goes on only at the software version that began it

  # Guards against a stream whose events come from upstreams of two software versions: the
  # upstream that began it ends, and the rest is asked of the least loaded one.
  Scenario: Upstreams end while they stream, and the instance asks others for the rest
    Given a site of 2 instances with the upstreams "a=v1,b=v1,c=v2,d=v2,e=v2"
    When callers read 24 streams of "/resume/x" and the upstream "a" ends after 0.4 s
    And the callers take up their streams at the other instance
    Then no stream has events of two versions
    And at least 22 streams are whole

  # Guards against streams that go on at a new process in the place of a crashed one, which
  # has another version, while the list shows the former one (as in an outage of the store).
  Scenario: An upstream was replaced under its name, and the list doesn't tell
    Given a site of 2 instances with the upstreams "a=v1,b=v1,c=v1"
    When the upstream "a" is replaced by one of "v2" that the list omits
    And callers read 24 streams of "/resume/x" and the upstream "b" ends after 0.4 s
    Then no stream has events of two versions
    And at least 22 streams are whole

  # Guards against a second instance that doesn't know at which version a stream began.
  Scenario: Callers take their streams up at the other instance
    Given a site of 2 instances with the upstreams "a=v1,b=v1,c=v2,d=v2,e=v2"
    When callers read 24 streams of "/once/x" and the upstreams "a,c" end after 0.4 s
    And the callers take up their streams at the other instance
    Then no stream has events of two versions
    And at least 22 streams are whole

  # Guards against knowledge that ends with the instance that had it.
  Scenario: The instance that began the streams is killed
    Given a site of 3 instances with the upstreams "a=v1,b=v1,c=v2,d=v2,e=v2"
    When callers read 24 streams of "/once/x" and the first instance is killed after 0.6 s
    And the callers take up their streams at the other instance
    Then no stream has events of two versions
    And at least 22 streams are whole

  # Guards against an instance that tells its streams to nobody, as it listed the others
  # before they had started.
  Scenario: The instance that began the streams started before the others and is killed
    Given a site of 3 instances, of which the others start 2 s after the first, with the upstreams "a=v1,b=v1,c=v2,d=v2,e=v2"
    When callers read 24 streams of "/once/x" and the first instance is killed after 0.6 s
    And the callers take up their streams at the other instance
    Then no stream has events of two versions
    And at least 22 streams are whole
    And no instance had to ask the store where a stream began

  # Guards against streams that began before their instance knew of a second version.
  Scenario: The second version comes while the streams run, and their instance is killed
    Given a site of 3 instances with the upstreams "a=v1,b=v1"
    When callers read 24 streams of "/once/x", the upstreams "c=v2,d=v2" come after 0.1 s and the first instance is killed after 0.8 s
    And the callers take up their streams at the other instance
    Then no stream has events of two versions
    And at least 22 streams are whole

  # Guards against a guess, and against a wait until the deadline, where nothing is known.
  Scenario: Nobody knows where the stream began
    Given a site of 2 instances with the upstreams "a=v1,b=v2"
    When a caller takes up a stream that no instance knows
    Then it got the status 503 without Retry-After within 1 s
    And no upstream got its request

  # Guards against a stream that waits, or goes on elsewhere, when its version has left.
  Scenario: The last upstream of the version has left
    Given a site of 2 instances with the upstreams "a=v1,b=v2"
    When callers read 8 streams of "/once/x" while "a" leaves the list and ends after 0.4 s
    And the callers take up their streams at the other instance
    Then no stream has events of two versions
    And each broken stream got the status 503 without Retry-After within 1 s

  # Guards against refusals where all upstreams have one version: it is the stream's.
  Scenario: One version serves, and the instance that began the streams is killed
    Given a site of 2 instances with the upstreams "a=v1,b=v1,c=v1"
    When callers read 12 streams of "/once/x" and the first instance is killed after 0.4 s
    And the callers take up their streams at the other instance
    Then all streams are whole

  # Guards against refusals of callers that don't name the first request of their stream, at
  # instances and beside upstreams that have just started.
  Scenario: A caller doesn't name its first request, and one version serves
    Given a site of 2 instances with the upstreams "a=v1,b=v1" that have just started
    When a caller takes up a stream without naming its first request
    Then it got the rest of its stream

  Scenario: A caller doesn't name its first request, and two versions serve
    Given a site of 2 instances with the upstreams "a=v1,b=v2"
    When a caller takes up a stream without naming its first request
    Then it got the status 503 without Retry-After within 1 s
    And no upstream got its request

  # Guards against a restart of all instances after a rollout, of which none has seen the
  # version that has left. Callers that don't name their first request are refused.
  Scenario: All instances end after a rollout
    Given a site of 2 instances with the upstreams "a=v1,b=v1"
    When callers read 12 streams of "/once/x", the upstreams "c=v2,d=v2" come after 0.1 s, "a,b" leave and all instances are killed after 0.6 s
    And all instances start again
    And the callers take up their streams without naming their first request
    Then no stream has events of two versions
    And each broken stream got the status 503 without Retry-After within 3 s
    And the store holds records of "v1,v2"

  # Guards against the loss of all origins with all instances.
  Scenario: All instances end while two versions serve
    Given a site of 2 instances with the upstreams "a=v1,b=v1,c=v2,d=v2"
    When callers read 24 streams of "/once/x" and all instances are killed after 0.85 s
    And all instances start again
    And the callers take up their streams at the other instance
    Then no stream has events of two versions
    And at least 20 streams are whole
