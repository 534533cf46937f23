Feature: The settings that switch the calls to the platform's API on

  Scenario Outline: Only an address and a duty switch them on
    Given a settings file with <lines>
    Then the duties that are switched on are <duties>

    Examples:
      | lines | duties |
      | nothing more | none |
      | cloud.address=127.0.0.1:7 | none |
      | cloud.duties=autoscaling | none |
      | cloud.address= cloud.duties=autoscaling | none |
      | cloud.address=127.0.0.1:7 cloud.duties=autoscaling,usage_reporting | usage_reporting autoscaling |
      | cloud.address=127.0.0.1:7 cloud.duties=usage_reporting,unknown | usage_reporting |
      | cloud.address=127.0.0.1:7 cloud.duties=usage_reporting,autoscaling cloud.autoscaling=false | usage_reporting |
      | cloud.address=127.0.0.1:7 cloud.duties=autoscaling cloud.autoscaling=false | none |

  Scenario: The times and the fencing are read
    Given a settings file with cloud.address=127.0.0.1:7 cloud.duties=autoscaling bounds.lease-ms=2500 bounds.fencing-enforced=true cloud.duty-per-s=4
    Then the lease lasts 2.5 s with fencing, and 4 calls a second are accepted

  Scenario Outline: A wrong value is told with its name
    Given a settings file with <lines>
    Then it is refused with "<name>"

    Examples:
      | lines | name |
      | cloud.address=nowhere cloud.duties=autoscaling | cloud.address |
      | cloud.address=127.0.0.1:7 cloud.duties=autoscaling bounds.lease-ms=soon | bounds.lease-ms |
      | cloud.address=127.0.0.1:7 cloud.duties=autoscaling bounds.lease-ms=0 | lease_s |
