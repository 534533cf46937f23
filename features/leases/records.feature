Feature: Records that are written under the lease

  A duty that takes an unwritten record for written may be contradicted by its
  successor, which starts from what is in the store.

  Scenario: What is reported as written was written under the holder's token
    When 60 runs of three instances with a store that fails in every way are played
    Then each confirmed record was written once, under the token of its holder
    And at least 500 writes were confirmed, 100 not confirmed and 100 tokens refreshed
    And exactly one instance holds the lease at the end of each run

  Scenario: A successor reads what its predecessor wrote last
    Given a holder that has written the records "orders" and "usage-1"
    When it removes the record "usage-1" and hands the lease over
    Then another instance holds the lease within 2 s, with a higher token
    And it has read the records "orders"
    And the instance that stops may no longer act

  Scenario Outline: The token is refreshed
    Given a holder <kind>
    When it refreshes its token
    Then the token is <result>

    Examples:
      | kind | result |
      | with fencing | higher than before |
      | without fencing | the same as before |
      | whose store is away | none, and the tenure has ended |

  Scenario: The holder waits for its last call before it gives the lease up
    Given a holder with a call to the API in progress that takes 0.5 s
    When it hands the lease over
    Then the row is released after 0.5 s, and no call begins meanwhile

  Scenario Outline: A refused token isn't used again
    Given a holder with fencing
    When the API refuses its <call>
    Then no call with that token is sent
    And <what>

    Examples:
      | call | what |
      | report | the instance rests for 4.5 s |
      | order | a fresh token is found within 1.5 s |

  Scenario: A holder that cannot reach the API gives the lease to another one
    Given a holder with fencing and another instance
    When its calls to the API fail for 7 s
    Then the other instance holds the lease

  Scenario: An unexpected error ends the tenure but not the task
    Given a holder with fencing
    When a call to the store raises an error that nothing expects
    Then the tenure has ended, and 2 s later the instance holds the lease again
