Feature: Sessions between instances

  Scenario: A frame is read as it was written
    Then 100 random frames of requesters are read as written
    And 100 random frames of homes are read as written

  Scenario: What requests share is sent once a session
    Then the second of 2 like requests takes at most 20 bytes

  Scenario Outline: A frame that breaks the protocol is refused
    Then a frame with <fault> is refused
    Examples:
      | fault              |
      | an unknown profile |
      | a tier of 9        |
      | an unknown result  |
      | an unknown reason  |
      | too high a number  |

  Scenario: A grant written before a pause carries the stamp seen before it
    Then a frame opened at stamp 100 echoes 100 though 900 is received before its flush

  Scenario: Reconnects back off with jitter, within bounds
    Then back-off is between 0.05 and 2 s and grows

  Scenario: A peer with a certificate of the authority is let in
    Given a listener that wants certificates of its authority
    When a peer connects with a certificate of that authority
    Then a session is open

  Scenario: A peer with another certificate is refused
    Given a listener that wants certificates of its authority
    When a peer connects with a certificate of another authority
    Then no session opens within 0.7 s

  Scenario: A peer that falls silent is taken as lost
    Given a listener that never answers
    When a peer connects
    Then its session has ended within 3 s

  Scenario: A link that is cancelled as its session fails ends
    Given a link whose session fails in the turn in which it is cancelled
    When the link is cancelled
    Then it has ended

  Scenario: A link whose session fails begins another
    Given a link whose first session fails
    When its back-off has passed
    Then it has begun a second session
