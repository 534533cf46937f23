Feature: A request from end to end, over separate processes

  Background:
    Given an engine
    And a daemon with its embedded platform

  Scenario: An ordinary client library gets a whole answer
    When the openai library asks for a chat completion
    Then the text is the engine's answer to that request

  Scenario: An ordinary client library gets a stream
    When the openai library asks for a streamed chat completion
    Then the text is the engine's answer to that request

  Scenario: An ordinary client library gets a plain completion and the models
    When the openai library asks for a completion
    Then the text is the engine's answer to that request
    And the library lists the model

  Scenario: A whole answer names its request and its outcome
    When a chat completion is asked for
    Then the header "X-Jujubenotch-Outcome" is "completed"
    And the header "X-Request-Id" is there

  Scenario: A stream's last event names the outcome
    When a streamed chat completion is asked for
    Then the last event names the outcome "completed" and ends the stream

  Scenario Outline: A request that can't be taken is refused with its reason
    When <request> is sent
    Then the status is <status>
    And the header "X-Jujubenotch-Outcome" is "not-run"
    And the header "X-Jujubenotch-Reason" is "<reason>"
    And the engine has run nothing

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

  Scenario: The daemon holds no io_uring and has no child
    When a chat completion is asked for
    Then no file descriptor of the daemon is an io_uring
    And the daemon has no child process

  Scenario: A planned stop cuts off no stream in progress
    When a long openai stream has begun
    And the daemon is told to stop
    Then the stream ends whole
    And the daemon ends with exit code 0
