Feature: A prompt part that crashes upstreams is no longer sent to them

  # Guards against a part of a prompt that ends one upstream after the other: each request
  # differs from the others and comes at another instance, which has seen other crashes.
  Scenario: Requests with the part come at two instances, beside sound ones
    Given a site of 2 instances and 8 upstreams that crash on the prompt part "bad0"
    When callers send 12 requests a second with the part and 40 without it for 10 s
    Then at most 3 requests with the part reached upstreams later than 3 s after the fifth crash
    And at most 8 upstreams crashed
    And each request with the part sent in the last 2 s got the status 502 without Retry-After
    And at least 95 in 100 of the others sent in the last 2 s were served

  # Guards against instances that start after the crashes and don't learn of them.
  Scenario: An instance starts after the crashes
    Given a site of 2 instances and 8 upstreams that crash on the prompt part "bad0"
    When callers send 12 requests a second with the part and 40 without it for 4 s
    And the second instance is killed and starts again
    And callers send 12 requests a second with the part and 40 without it for 4 s
    Then at most 8 upstreams crashed
