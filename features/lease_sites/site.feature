Feature: The lease at a site with the real program

  Scenario: A planned stop hands the lease over
    Given a site of 2 programs, one of which holds the lease
    When the holder gets SIGTERM
    Then the other one holds the lease within 1.5 s, with a higher token
    And the first one has logged "lease-handed-over"
    And the first one exits with 0

  Scenario: The lease of a killed holder is taken over when it has expired
    Given a site of 2 programs, one of which holds the lease
    When the holder gets SIGKILL
    Then the other one holds the lease within 5 s, with a higher token
    And that was at least 2 s after the last renewal

  Scenario: A holder that was suspended does not act again under its old lease
    Given a site of 2 programs, one of which holds the lease
    When the holder is suspended for 6 s
    Then the other one holds the lease within 0.1 s, with a higher token
    And the first one has logged "lease-ended"
    And 2 s later it still does not hold the lease

  Scenario: The lease is held again when the store is back
    Given a site of 2 programs, one of which holds the lease
    When the store is unavailable for 4 s
    Then nobody holds the lease at the end of the outage
    And one of them holds the lease within 4 s, with a higher token

  Scenario: The token of a new era is above all earlier ones
    Given a site of 2 programs, one of which holds the lease
    When the store is restored from a copy that is 1 s old
    Then one of them holds the lease within 7 s, with a token of the new era

  Scenario Outline: The writes of the lease don't make the list of upstreams stalled
    Given a site of 2 programs <kind>, one of which holds the lease
    When 6 s pass with changes of the list of upstreams
    Then no program has logged "upstream-list-stalled"
    And the metrics of the holder tell its token, and those of the other one none

    Examples:
      | kind |
      | that read for themselves |
      | that share a reader |

  Scenario: An instance that becomes the reader accounts for the writes of the lease
    Given a site of 2 programs that share a reader, one of which holds the lease
    When 4 s pass with changes of the list of upstreams
    And the holder gets SIGKILL
    Then the other one holds the lease within 9 s, with a higher token
    And no program has logged "upstream-list-stalled"

  Scenario: Without the API's address nothing is called or written
    Given a site of 2 programs without the API's address
    When 4 s pass with changes of the list of upstreams
    Then the store has no lease and got no call for one
