Feature: No response promises that a request was not run unless that is proved

  # Guards against the refusal of another exchange, or of an HTTP server, that is taken for
  # the proof that an instance which was asked to send a request on has not sent it (REFUSED).
  Scenario Outline: Another instance answers for a request that it was asked to send on
    Given a request "a-1" that another instance was asked to send on
    When the response has the status <status>, the outcome <outcome> and names <request>
    Then it is taken as <kind>

    Examples:
      | status | outcome | request | kind        |
      | 503    | not-run | a-1     | not-started |
      | 503    | not-run | nothing | not-started |
      | 503    | not-run | b-2     | unproved    |
      | 503    | unknown | a-1     | unproved    |
      | 503    | nothing | nothing | unproved    |
      | 429    | nothing | nothing | unproved    |
      | 421    | nothing | nothing | unproved    |
      | 408    | nothing | nothing | unproved    |
      | 500    | nothing | nothing | own         |
      | 200    | nothing | nothing | own         |

  # Guards against a status of the HTTP server that promises "not run" for a request that
  # may have been sent (REFUSED).
  Scenario Outline: Handling a request raises an error
    When an error with the status <status> is raised <when> the dispatch
    Then the caller gets the status <told>

    Examples:
      | status | when   | told |
      | 503    | before | 503  |
      | 408    | before | 408  |
      | 413    | before | 413  |
      | 503    | after  | 502  |
      | 408    | after  | 502  |
      | 499    | after  | 502  |
      | 500    | after  | 502  |
