Feature: A request that crashes upstreams is no longer repeated

  # Guards against a request that comes again and again, under another id each time, at any
  # instance, and ends each upstream that begins to run it.
  Scenario: An idempotent request comes again at two instances, beside sound ones
    Given a site of 2 instances and 6 upstreams that crash on the body "bad"
    When callers send 6 idempotent requests a second with that body and 30 others for 9 s
    Then at most 3 requests with that body reached upstreams later than 3 s after the third crash
    And each request with that body sent in the last 2 s got the status 502 without Retry-After
    And at least 95 in 100 of the others sent in the last 2 s were served

  Scenario: A request that is not idempotent comes again
    Given a site of 2 instances and 6 upstreams that crash on the body "bad"
    When callers send 6 non-idempotent requests a second with that body and 30 others for 9 s
    Then at most 3 requests with that body reached upstreams later than 3 s after the third crash
    And at least 95 in 100 of the others sent in the last 2 s were served

  # Guards against blocks of a request that is repeated often and is sound.
  Scenario: A sound request is repeated beside the bad one
    Given a site of 2 instances and 6 upstreams that crash on the body "bad"
    When callers send 6 idempotent requests a second with that body and 30 alike ones for 9 s
    Then at most 3 requests with that body reached upstreams later than 3 s after the third crash
    And at least 95 in 100 of the others sent in the last 2 s were served
