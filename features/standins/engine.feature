Feature: The model engine's stand-in

  Scenario Outline: A client library gets the expected answer
    Given an engine
    When the client library asks for a <form> <kind>
    Then it gets the whole expected answer

    Examples:
      | form     | kind       |
      | whole    | chat       |
      | streamed | chat       |
      | whole    | completion |
      | streamed | completion |

  Scenario: A resumed stream gives each event once
    Given an engine
    When a stream is read up to event 5 and resumed after it on a new connection
    Then the events of both are the whole answer, each once

  Scenario: Urgent work is admitted first
    Given an engine with 1 slot
    When requests of priority 3, 2, 0, 1 wait behind a running one
    Then they start in the order of priority 0, 1, 2, 3

  Scenario: A step grows with the batch
    Given an engine's speed of 20 ms and 0.5 ms for each request
    Then a step of 1 request takes 20.5 ms and one of 16 takes 28.0 ms
    And a step of 16 requests slowed down 3 times takes 84.0 ms

  Scenario: A caller that leaves frees its slot
    Given an engine with 1 slot
    When a caller leaves in the middle of a long stream
    Then the next request is answered
    And the tokens of the cancelled request are counted as wasted

  Scenario: A cached prefix skips its prefill
    Given a batch with room for 4 prompt blocks
    When a prompt of 4 blocks is admitted twice
    Then only the second one finds its prefix cached

  Scenario: The load report is as old as it is told to be
    Given load samples at 0, 1 and 2 s
    Then a report with a lag of 1.5 s at 2.5 s shows the sample of 1 s
