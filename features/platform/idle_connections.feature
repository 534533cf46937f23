Feature: Calls to the store use no connection that was idle for long

  # Guards against late changes: idle connections may go silent without an error, and each call
  # on one of them ends by its timeout only (incident CONFIG).
  Scenario: Idle connections to the store have gone silent
    Given a store whose table is read by 3 calls at once
    When 1.3 s pass without a call and the open connections go silent
    Then the table is read within 0.4 s

  Scenario: Calls in quick succession share a connection
    Given a store whose table is read by 1 call at once
    When 5 further calls follow each other
    Then the store has had 1 connection
