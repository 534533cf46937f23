Feature: Requests that go by way of other instances stay within the bound on repeats

  # Guards against a request that one instance after the other sends to upstreams that
  # turn it away, which no budget counts (BUDGET).
  Scenario: Upstreams turn away what comes by way of other instances
    Given a site of 5 instances with paths to 2 upstreams that turn all requests away, which may repeat nothing
    When the paths of 1 instance are cut
    And 60 requests come to that instance within 6 s
    Then requests have arrived, and none has arrived twice

  # Guards against a further send that no budget counts because the instance that was asked
  # last, in between, sent nothing (BUDGET).
  Scenario: An instance that sends nothing is asked between two that do
    Given a call, and instances that have it sent, not sent and sent when they are asked
    When the instances are asked in turn
    Then the budget was asked before the second and before the third one
