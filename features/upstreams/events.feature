Feature: Whole events are forwarded as bytes

  Scenario Outline: An event cut anywhere is forwarded once and whole
    Given a stream of <count> events ended by "<end>"
    When it arrives in chunks of every size
    Then the forwarded bytes are the events without the end marker
    And the last id is "<last>"
    And the stream is ended

    Examples:
      | count | end  | last |
      | 1     | lf   | 0    |
      | 5     | lf   | 4    |
      | 5     | crlf | 4    |

  Scenario: A stream without its end marker is not ended
    Given a stream of 3 events ended by "lf"
    When it arrives without its end marker
    Then the stream is not ended

  Scenario: A marker inside a token is no end marker
    Given a stream whose second event says the end marker
    When it arrives in chunks of every size
    Then the forwarded bytes are the events without the end marker
    And the stream is ended

  Scenario: A chunk that ends amid an event holds the event back
    Given a stream of 3 events ended by "lf"
    When its first 30 bytes arrive
    Then only whole events are forwarded
