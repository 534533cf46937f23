Feature: What may be sent again

  Scenario: An idempotent request is repeated elsewhere after a failure
    Given a site whose upstream fails
    And another upstream that answers well
    When 2 callers read
    Then each gets "done"

  Scenario: A request that may have run is not repeated
    Given a site whose upstream cuts its answer
    And another upstream that cuts its answer
    When a caller sends
    Then it gets the status 502
    And the upstreams read 1 request together

  Scenario: A request that was proved not run goes elsewhere
    Given a site whose upstream refuses
    And another upstream that answers well
    When 2 callers send
    Then each gets "done"

  Scenario: A request that no upstream takes is told as not run
    Given a site whose upstream refuses
    When a caller sends
    Then it gets the status 503
    And it is told when to come back

  Scenario: Repeats stay within the budget
    Given a site whose upstream fails
    And another upstream that fails
    When 12 callers read
    Then the upstreams read 14 requests together

  Scenario: An address that another process has taken runs nothing
    Given a site whose upstream is another process
    And another upstream that answers well
    When 6 callers send
    Then each gets "done"

  Scenario: A stream goes on after its last event
    Given a site whose upstream cuts its stream after 2 events
    And another upstream that streams on from the last event
    When 2 callers resume streams
    Then each got 4 events in order

  Scenario: A stream that begins anew elsewhere is not joined to its first part
    Given a site whose upstream cuts its stream after 2 events
    And another upstream that streams 3 events
    When 6 callers resume streams
    Then no caller got an event twice
    And the answer of some caller is cut

  Scenario: The caller's wait bounds the answer
    Given a site whose upstream is silent
    When a caller reads on the short route
    Then it gets the status 504
    And it waited less than 0.9 s

  Scenario: A caller that leaves ends the work of its stream
    Given a site whose upstream is silent
    When a caller leaves its stream
    Then the upstream's connection has ended

  Scenario: A silent upstream is left while there is time for another
    Given a site whose upstream is silent
    And another upstream that answers well
    When 2 callers read
    Then each gets "done"

  Scenario: A resumable stream leaves a silent upstream
    Given a site whose upstream is silent
    And another upstream that streams on from the last event
    When 2 callers resume streams
    Then each got 4 events in order
