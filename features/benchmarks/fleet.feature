Feature: A fleet of processes

  Scenario: Each instance answers, also after its restart, and all ends
    Given a fleet with relays runs
    Then each instance answers a query rightly
    When its first instance is killed and started again
    Then each instance answers a query rightly
    When the route of its data centre's only engine is cut
    Then a query there is answered rightly by another data centre
    When the routes of all engines are cut
    Then a query there is refused and not run
    When the fleet is stopped
    Then none of its processes is left
