Feature: The model engine's stand-in

  Scenario Outline: The OpenAI client library receives the expected response
    Given an engine
    When the client library requests a <form> <kind>
    Then it receives the complete expected response

    Examples:
      | form     | kind       |
      | whole    | chat       |
      | streamed | chat       |
      | whole    | completion |
      | streamed | completion |

  Scenario: A resumed stream delivers each event exactly once
    Given an engine
    When a stream is read up to event 5 and resumed after it on a new connection
    Then the two connections together delivered each event of the response once

  Scenario: Requests are admitted in the order of their priority
    Given an engine with 1 slot
    When requests of priority 3, 2, 0, 1 wait behind a running request
    Then they start in the order of priority 0, 1, 2, 3

  Scenario: The duration of a step grows with the size of the batch
    Given an engine speed of 20 ms per step and 0.5 ms per request in the batch
    Then a step of 1 request takes 20.5 ms and a step of 16 takes 28.0 ms
    And a step of 16 requests with a slowdown factor of 3 takes 84.0 ms

  Scenario: A slot is freed when its caller disconnects
    Given an engine with 1 slot
    When a caller disconnects in the middle of a long stream
    Then the next request receives the expected response
    And the tokens of the cancelled request are counted as wasted

  Scenario: A prompt skips the prefill of its cached prefix
    Given a batch with room for 4 prompt blocks
    When a prompt of 4 blocks is admitted twice
    Then only the second admission finds its prefix cached

  Scenario: The load report lags by the configured time
    Given load samples at 0, 1 and 2 s
    Then a report with a lag of 1.5 s at 2.5 s shows the sample of 1 s
