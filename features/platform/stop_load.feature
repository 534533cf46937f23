Feature: A planned stop under load cuts off no request

  # Guards against requests on kept connections that are read, or arrive, while the instance
  # stops, and whose connection ends without a response. A load balancer connects no more
  # after two probes that fail, a second apart.
  Scenario: Callers connect until the load balancer leads them elsewhere
    Given a site whose upstream answers correctly
    When 12 callers send requests on kept connections, the program is stopped after 1 s and they connect for 2.2 s longer
    Then each request that was sent got a whole response
    And the program exited with 0

  # Guards against connections that are accepted, or wait for it, when the listener closes.
  Scenario: Callers connect until the listener is closed
    Given a site whose upstream answers correctly
    When 12 callers send requests on kept connections, the program is stopped after 1 s and they connect for 4 s longer
    Then each request that was sent got a whole response
    And the program exited with 0
