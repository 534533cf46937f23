Feature: When the lease may be used and taken

  Scenario Outline: The token is above all tokens that were used before
    Given a row of era <row_era> with token <token> at revision <revision>, read in era <era>
    Then a token above <above> is chosen

    Examples: the second one was overwritten by a late write of an earlier era
      | row_era | token | revision | era | above |
      | 0 | 7 | 30 | 0 | 7 |
      | 0 | 7 | 30 | 1 | 4294967296 |
      | 0 | 7 | 31 | 1 | 4294967327 |

  Scenario Outline: A candidate takes only a lease that is free by the store's clock
    Given a candidate that has run for <age> s and read <row> at 100 s of the store's clock
    When it reads the row again at <later> s of the store's clock
    Then its next step is <step>

    Examples:
      | age | row | later | step |
      | 0 | no row | 100.1 | take |
      | 0 | a released row | 100.1 | wait |
      | 60 | a released row | 100.1 | take |
      | 60 | a row released in an earlier era | 100.1 | wait |
      | 60 | a row released in an earlier era | 104 | take |
      | 60 | a held row | 103 | wait |
      | 60 | a held row | 104 | take |
      | 0 | a held row | 104 | wait |
      | 60 | no row in a new era | 100.1 | wait |
      | 60 | no row in a new era | 104 | take |
      | 60 | a row of a later version | 200 | wait |

  Scenario Outline: A holder acts only while nobody else may
    Given a holder whose last confirmed renewal was sent <age> s ago
    Then it may act: <acts>, and a call may take <limit> s at most

    Examples:
      | age | acts | limit |
      | 0.1 | yes | 2.6 |
      | 1.7 | yes | 1.0 |
      | 1.9 | no | 0 |

  Scenario: A holder that cannot reach the platform's API lets another one try
    Given a holder whose last confirmed renewal was sent 0.1 s ago
    When its calls to the API have failed for 6.5 s
    Then its next step is release
    When the lease is given up
    Then it does not take the lease for 9 s

  Scenario: A call that was answered ends the count of failures
    Given a holder whose last confirmed renewal was sent 0.1 s ago
    When its calls to the API have failed for 6.5 s
    And a call was answered with "conflict"
    Then its next step is wait

  Scenario: Without fencing, the lease is not given up after a call without a response
    Given a holder without fencing whose last call had no response
    Then it may not give up the lease before it expires
