Feature: A fleet of processes

  Scenario: Each instance answers, also after its restart, and all ends
    Given a fleet with relays runs
    Then each instance answers a query rightly
    When its first instance is killed and started again
    Then each instance answers a query rightly
    When an engine's route is cut
    Then a query of its data centre is refused and not run
    When the fleet is stopped
    Then none of its processes is left
