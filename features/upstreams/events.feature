Feature: Complete events are forwarded unchanged

  Scenario Outline: An event that is split at any byte is forwarded once and complete
    Given a stream of <count> events with "<end>" line ends
    When the stream arrives in chunks of every size
    Then the forwarded bytes are the events without the end marker
    And the last id is "<last>"
    And the stream is ended

    Examples:
      | count | end  | last |
      | 1     | lf   | 0    |
      | 5     | lf   | 4    |
      | 5     | crlf | 4    |

  Scenario: A stream without its end marker is not ended
    Given a stream of 3 events with "lf" line ends
    When the stream arrives without its end marker
    Then the stream is not ended

  Scenario: The end marker inside the text of an event does not end the stream
    Given a stream whose second event contains the end marker
    When the stream arrives in chunks of every size
    Then the forwarded bytes are the events without the end marker
    And the stream is ended

  Scenario: An incomplete event is not forwarded
    Given a stream of 3 events with "lf" line ends
    When the first 30 bytes of the stream arrive
    Then only complete events are forwarded
