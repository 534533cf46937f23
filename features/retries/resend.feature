Feature: Nothing but the retry budget decides on a second send

  # Guards against the HTTP library's own resend of idempotent methods on a connection that
  # was closed, which no budget counts; the switch for it is private (BUDGET).
  Scenario: An upstream closes a kept connection instead of answering
    Given a site that may repeat nothing, whose upstream closes each connection at the second request
    When a caller sends 6 idempotent requests, one after the other
    Then each request has arrived once

  # Guards against a later time limit for a request that is sent once more (BUDGET).
  Scenario: The second send of a request carries what is left of its time
    Given a site whose upstream reads a request and closes the connection 0.7 s later
    When a caller that waits 2500 ms sends an idempotent request
    Then it has arrived twice, and the second time limit ends no later than the first
