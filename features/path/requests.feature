Feature: Requests and responses pass between a client and an engine in separate processes

  Background:
    Given an engine
    And a daemon with an embedded platform

  Scenario: A standard client library receives a complete response
    When the openai library requests a chat completion
    Then the received text is the engine's response to that request

  Scenario: A standard client library receives a stream
    When the openai library requests a streamed chat completion
    Then the received text is the engine's response to that request

  Scenario: A standard client library receives a plain completion and the list of models
    When the openai library requests a plain completion
    Then the received text is the engine's response to that request
    And the openai library lists the engine's model

  Scenario: A complete response reports its request id and its outcome
    When a client requests a chat completion
    Then the response header "X-Jujubenotch-Outcome" is "completed"
    And the response header "X-Request-Id" is present

  Scenario: The final event of a stream reports the outcome
    When a client requests a streamed chat completion
    Then the final event reports the outcome "completed" and ends the stream

  Scenario Outline: A request that cannot be accepted is refused with its reason
    When a client sends <request>
    Then the response status is <status>
    And the response header "X-Jujubenotch-Outcome" is "not-run"
    And the response header "X-Jujubenotch-Reason" is "<reason>"
    And the engine has run no request

    Examples:
      | request                       | status | reason          |
      | a request without a key       | 401    | authentication  |
      | a request with a wrong key    | 401    | authentication  |
      | a request with two keys       | 401    | authentication  |
      | a body that is not JSON       | 400    | malformed       |
      | a body without messages       | 400    | malformed       |
      | a body with a list as model   | 400    | malformed       |
      | an unknown model              | 404    | unknown-model   |
      | an unknown service            | 404    | unknown-service |
      | an oversized body             | 413    | body-too-large  |
      | two idempotency keys          | 400    | malformed       |

  Scenario: The daemon uses no io_uring and has no child process
    When a client requests a chat completion
    Then no file descriptor of the daemon is an io_uring
    And the daemon has no child process

  Scenario: A planned stop does not cut off a stream in progress
    When the openai library has started to receive a long stream
    And the daemon receives SIGTERM
    Then the openai library receives the complete stream
    And the daemon exits with code 0
