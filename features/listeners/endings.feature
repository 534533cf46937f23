Feature: A streamed response ends as complete only when its handler has finished it

  # Guards against truncated responses that look whole: the HTTP server writes the final
  # chunk of an open response also when the handler has failed.
  Scenario Outline: A handler ends after 2 parts of a streamed response
    Given a listener whose handler streams 2 parts and then <end>
    When a caller reads the response to the end of the connection
    Then the caller received the 2 parts
    And the response ends <verdict>

    Examples:
      | end                       | verdict                 |
      | finishes the response     | with the final chunk    |
      | raises an error           | without the final chunk |
      | raises a caller's error   | without the final chunk |
      | returns                   | without the final chunk |
      | is cancelled              | without the final chunk |
      | closes the transport      | without the final chunk |

  # Guards against a connection that is used again after a response that was cut.
  Scenario: The next request is on the same connection
    Given a listener whose handler streams 2 parts and then finishes the response
    When a caller sends two requests on one connection
    Then both responses end with the final chunk

  # Guards against truncated responses without a length that look whole: such a response
  # ends with its connection, and only a reset tells that it is truncated.
  Scenario Outline: A handler ends after 2 parts of a response without a length
    Given a listener whose handler streams 2 parts without a length and then <end>
    When a caller reads the response to the end of the connection
    Then the connection ended <verdict>

    Examples:
      | end                      | verdict    |
      | finishes the response    | regularly  |
      | raises an error          | by a reset |
      | returns                  | by a reset |
      | is cancelled             | by a reset |
      | closes the transport     | by a reset |

  # Guards against a reset that discards the end of a complete response for a caller who
  # reads slowly.
  Scenario: A caller reads nothing until a large response without a length is finished
    Given a listener whose handler sends 6000000 bytes without a length and finishes
    When a caller reads them after a pause of 6 s
    Then the caller received all 6000000 bytes
    And the connection ended regularly
