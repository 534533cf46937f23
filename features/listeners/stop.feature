Feature: A stopping listener does not cut off any response

  Scenario: A response that a caller reads slowly arrives completely
    Given a listener whose response is 16000000 bytes long
    When a caller sends a request and the listener begins to stop
    And the caller reads the response only after that
    Then the caller has received the complete response
    And the listener has stopped

  Scenario: A caller that reads nothing delays the stop only until the time limit
    Given a listener whose response is 16000000 bytes long
    When a caller sends a request and the listener begins to stop with a time limit of 0.3 s
    Then the listener has stopped with 1 connection still open

  # Guards against connections that are reset because they wait to be accepted when the
  # listening socket is closed; their requests have been sent by then.
  Scenario: Callers connect at the moment at which the listener closes its socket
    Given a listener with limits that has served a request
    When 20 callers connect and send a request just before the listening socket is closed
    Then each of them gets a complete response
    And the listener has stopped
