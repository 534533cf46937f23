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
