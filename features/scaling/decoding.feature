Feature: Limits of orders and reclaimed upstreams are read

  Scenario: The limits of a service
    Given a service with the scaling '{"min-replicas": 2, "max-replicas": 30, "boot-s": 4, "spot-price": 0.22, "zone-prices": {"north": 0.85}}'
    When the configuration is decoded
    Then between 2 and 30 upstreams with a relative price of 0.22 may be ordered

  # Guards against a configuration that is rejected whole, or orders without limits,
  # as its limits can't be read.
  Scenario Outline: Limits that can't be read
    Given a service with the scaling '<scaling>'
    When the configuration is decoded
    Then the configuration is valid and nothing may be ordered

    Examples:
      | scaling                                              |
      | {"boot-s": 4}                                        |
      | {"min-replicas": 9, "max-replicas": 3, "boot-s": 4}  |
      | {"max-replicas": -1, "boot-s": 4}                    |
      | {"max-replicas": "many", "boot-s": 4}                |
      | [1]                                                  |
      | null                                                 |

  # Guards against new work on an upstream that is about to be reclaimed, also when its
  # entry is read again later.
  Scenario Outline: The time that an upstream has left
    Given an upstream's entry with '<fields>' that is read at 0 s and again at 20 s
    Then at <now> s the upstream is <usable>

    Examples:
      | fields                                    | now | usable     |
      | "preemptible": true                       | 90  | usable     |
      | "preemptible": true, "leaves_ms": 60000   | 25  | usable     |
      | "preemptible": true, "leaves_ms": 60000   | 51  | not usable |
      | "preemptible": true, "leaves-ms": 5000    | 21  | not usable |

  # Guards against a stored row that ends the task which reads it.
  Scenario: Stored orders that can't be read
    Then no drawn content of the stored orders raises an error
