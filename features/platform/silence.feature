Feature: An upstream that falls silent for a second or so is not given up

  # Guards against streams that are taken away from a sound upstream, and connections that
  # are closed, because of a short silence.
  Scenario: A stream goes on at an upstream that was silent for 1.2 s
    Given a site whose upstream is silent for 1.2 s after 2 of 4 events
    And another upstream that answers correctly
    When a caller reads a stream that may be resumed
    Then it got the events 1 to 4 from one upstream

  # Guards against a caller that waits for an upstream that is gone.
  Scenario: A stream goes on elsewhere when its upstream stays silent
    Given a site whose upstream is silent for 60 s after 2 of 4 events
    And another upstream that resumes after the last event
    When a caller reads a stream that may be resumed
    Then it got the events 1 to 4 within 2.5 s

  # Guards against a stalled stream that never ends because single bytes still arrive.
  Scenario: A stream goes on elsewhere when its upstream completes no event
    Given a site whose upstream sends a byte each 0.3 s after 2 of 4 events
    And another upstream that resumes after the last event
    When a caller reads a stream that may be resumed
    Then it got the events 1 to 4 within 2.5 s

  Scenario: An idle connection outlives the silence of its upstream
    Given a site whose upstream is silent for 0 s after 2 of 4 events
    When a caller reads a stream, and another one 1.2 s later
    Then the upstream accepted 1 connection

  # TCP_USER_TIMEOUT also decides when keep-alive probes give up, whatever their count.
  Scenario: A connection is given up for silence of its host only after 2 s
    Then no timeout of a connection to an upstream's host is shorter than 2 s
    And all of them are over within 15 s
