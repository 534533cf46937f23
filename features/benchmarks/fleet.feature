Feature: Fleet of processes

  Scenario: Instances answer queries, also after a restart, and all processes stop
    Given a running fleet with relays
    Then each instance answers a query correctly
    When the first instance is killed and started again
    Then each instance answers a query correctly
    When the route to the only engine in the second instance's data centre is cut
    Then another data centre answers a query to the second instance correctly
    When the routes to all engines are cut
    Then a query to the second instance is refused and not executed
    When the fleet is stopped
    Then no process of the fleet is left running
