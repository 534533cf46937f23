Feature: A listener that stops cuts off no answer

  Scenario: An answer that a caller reads slowly comes whole
    Given a listener whose answer is 16000000 bytes
    When a caller has asked for it and the listener is told to stop
    And the caller reads only then
    Then the caller has the whole answer
    And the listener has ended

  Scenario: A caller that reads nothing holds the stop up to its bound only
    Given a listener whose answer is 16000000 bytes
    When a caller has asked for it and the listener is told to stop within 0.3 s
    Then the listener has ended with 1 connection open
