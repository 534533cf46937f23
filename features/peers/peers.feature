Feature: Sessions between instances

  Scenario: A decoded frame equals the frame that was encoded
    Then 100 random frames of requesters are equal after encoding and decoding
    And 100 random frames of coordinators are equal after encoding and decoding

  Scenario: The fields that requests share are sent once in a session
    Then the second of 2 similar requests takes at most 20 bytes

  Scenario Outline: A frame that violates the protocol is rejected
    Then a frame with <fault> is rejected
    Examples:
      | fault              |
      | an unknown profile |
      | a tier of 9        |
      | an unknown result  |
      | an unknown reason  |
      | too high a number  |

  Scenario: A frame echoes the timestamp received before its first message
    Then a frame opened at timestamp 100 echoes 100 although 900 is received before its flush

  Scenario: Reconnecting uses back-off with jitter, within bounds
    Then the back-off is between 0.05 and 2 s and grows

  Scenario: A peer with a certificate of the listener's authority is accepted
    Given a listener that requires certificates of its authority
    When a peer connects with a certificate of that authority
    Then a session is open

  Scenario: A peer with a certificate of another authority is rejected
    Given a listener that requires certificates of its authority
    When a peer connects with a certificate of another authority
    Then no session opens within 0.7 s

  Scenario: A session to a listener that does not answer ends
    Given a listener that never answers
    When a peer connects
    Then the peer's session has ended within 3 s

  Scenario: A link ends when it is cancelled while its session fails
    Given a link whose session fails in the event-loop iteration of its cancellation
    When the link is cancelled
    Then the link has ended

  Scenario: A link starts another session after its session has failed
    Given a link whose first session fails
    When the link's back-off has passed
    Then the link has started a second session
