Feature: The real program orders upstreams from a stand-in of the platform's API

  # Guards against a duty that isn't started, orders that the API can't read, and standard
  # upstreams that leave before the preemptible ones are listed.
  Scenario: Preemptible upstreams replace standard ones
    Given a site with 8 standard upstreams and one program
    Then the API gets the order of 3 preemptible upstreams in "a" within 15 s
    And no order for standard upstreams came before
    When 3 preemptible upstreams are listed
    Then the API gets the order of 5 standard upstreams in "a" within 10 s
    And the store's row of the orders tells 5 standard and 3 preemptible ones
    And the metrics tell 5 standard and 3 preemptible ones ordered

  # Guards against orders for services whose configuration doesn't allow them.
  Scenario: A service without limits of orders
    Given a site with 8 standard upstreams without limits and one program
    When 6 s pass
    Then the API got no order
