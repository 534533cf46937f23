Feature: Incomplete heads and errors of upstreams don't become part of a response

  # Guards against callers who get a success with an empty or short body, framed as whole,
  # when their upstream stopped in the middle of the response's head.
  Scenario: An upstream stops inside the head and ends the connection
    Given a site whose upstreams send the start of a head and end the connection
      | start                                                        | end   |
      | HTTP/1.1 2                                                   | close |
      | HTTP/1.1 200 OK                                              | close |
      | HTTP/1.1 200 OK\r\n                                          | close |
      | HTTP/1.1 200 OK\r\n                                          | reset |
      | HTTP/1.1 200 OK\r\n{id}\r\nX-Resp                            | close |
      | HTTP/1.1 200 OK\r\n{id}\r\n{signature}                       | close |
      | HTTP/1.1 200 OK\r\n{id}\r\n{signature}\r\n                   | close |
      | HTTP/1.1 200 OK\r\n{id}\r\n{signature}\r\n                   | reset |
      | HTTP/1.1 200 OK\r\n{id}\r\n{signature}\r\nContent-Length: 1  | close |
      | HTTP/1.1 200 OK\r\n{id}\r\n{signature}\r\nContent-Length: 9\r\n | close |
      | HTTP/1.1 200 OK\r\n{id}\r\n{signature}\r\nContent-Length: 9\r\n | reset |
      | HTTP/1.1 200 OK\r\n{id}\r\n{signature}\r\n{stream}           | close |
      | HTTP/1.1 200 OK\r\n{id}\r\n{signature}\r\n{stream}\r\n       | reset |
    When callers send a request of each kind for each of these
    Then each caller gets an error
    And no caller gets a byte of the upstream's response

  # Guards against heads that are no response, whose request counts as completed and is
  # not repeated, while its caller gets the status or an internal error.
  Scenario: An upstream sends a head with a status that HTTP doesn't have
    Given a site whose upstreams send the start of a head and end the connection
      | start                                                                                  | end   |
      | HTTP/1.1 000 None\r\n{id}\r\n{signature}\r\n\r\nerror                                | close |
      | HTTP/1.1 000 None\r\n{id}\r\n{signature}\r\n\r\n                                     | close |
      | HTTP/1.1 000 None\r\n{id}\r\n{signature}\r\nContent-Length: 5\r\n\r\nerror           | keep  |
      | HTTP/1.1 000 None\r\n{id}\r\n{signature}\r\nContent-Length: 0\r\n\r\n                | keep  |
      | HTTP/1.1 000 None\r\n{id}\r\n{signature}\r\n{stream}\r\n\r\n5\r\nerror\r\n0\r\n\r\n | keep  |
      | HTTP/1.1 000 None\r\nContent-Length: 5\r\n\r\nerror                                  | keep  |
      | HTTP/1.1 001 One\r\n{id}\r\n{signature}\r\nContent-Length: 5\r\n\r\nerror            | keep  |
      | HTTP/1.1 099 None\r\n{id}\r\n{signature}\r\nContent-Length: 5\r\n\r\nerror           | keep  |
      | HTTP/1.1 101 Other\r\n{id}\r\n{signature}\r\nContent-Length: 5\r\n\r\nerror          | keep  |
      | HTTP/1.1 600 High\r\n{id}\r\n{signature}\r\nContent-Length: 5\r\n\r\nerror           | keep  |
      | HTTP/1.1 999 High\r\n{id}\r\n{signature}\r\n\r\nerror                                | close |
    When callers send a request of each kind for each of these
    Then each caller gets an error
    And no caller gets a byte of the upstream's response
    And no attempt has ended as completed

  # Guards against a failed repetition: the head counted as the request's own response.
  Scenario: A request that may be repeated is repeated after a head without a valid status
    Given a site whose upstream sends the status 000
    And another upstream that answers correctly
    When 4 callers send idempotent requests
    Then each caller gets "done"

  # Guards against a second run, and a promise that nothing has run.
  Scenario: A request that may run once is not repeated after a head without a valid status
    Given a site whose upstream sends the status 000
    When a caller sends a non-idempotent request
    Then the caller gets the status 502
    And the upstream received 1 request

  # Guards against an error's text or head in the middle of a caller's stream, and against
  # a stream that ends as if it were complete, when the upstream that should continue it
  # answers with something else than its rest.
  Scenario: A stream breaks off and the next upstream answers with an error
    Given a site whose upstreams break off each stream after 2 events and answer a resumption
      | start                                                                              | end   |
      | HTTP/1.1 400 Bad\r\n{id}\r\n{signature}\r\nContent-Length: 5\r\n\r\nerror           | keep  |
      | HTTP/1.1 404 None\r\n{id}\r\n{signature}\r\nContent-Length: 5\r\n\r\nerror          | keep  |
      | HTTP/1.1 500 Error\r\n{id}\r\n{signature}\r\nContent-Length: 5\r\n\r\nerror         | keep  |
      | HTTP/1.1 500 Error\r\n{id}\r\n{signature}\r\n{stream}\r\n\r\n5\r\nerror\r\n0\r\n\r\n | keep  |
      | HTTP/1.1 502 Bad\r\n{id}\r\n\r\nerror                                               | close |
      | HTTP/1.1 503 Busy\r\n{id}\r\nX-Not-Executed: 1\r\nContent-Length: 5\r\n\r\nerror    | keep  |
      | HTTP/1.1 503 Busy\r\n{id}\r\n{signature}\r\nContent-Length: 5\r\n\r\nerror          | keep  |
      | HTTP/1.1 429 Many\r\n{id}\r\nX-Not-Executed: 1\r\nContent-Length: 5\r\n\r\nerror    | keep  |
      | HTTP/1.1 421 Other\r\n{id}\r\nX-Not-Executed: 1\r\nContent-Length: 5\r\n\r\nerror   | keep  |
      | HTTP/1.1 301 Moved\r\n{id}\r\n{signature}\r\nContent-Length: 5\r\n\r\nerror         | keep  |
      | HTTP/1.1 204 None\r\n{id}\r\n{signature}\r\n\r\n                                    | keep  |
      | HTTP/1.1 200 OK\r\n{id}\r\n{signature}\r\nContent-Length: 5\r\n\r\nerror            | keep  |
      | HTTP/1.1 200 OK\r\n{id}\r\nContent-Length: 5\r\n\r\nerror                           | keep  |
      | HTTP/1.1 200 OK\r\n{id}\r\n{signature}\r\n                                          | close |
      | error                                                                               | close |
      | HTTP/1.1 500 Error\r\n{id}\r\n{signature}\r\n{type}\r\nContent-Length: 0\r\n\r\n | keep  |
      | HTTP/1.1 500 Error\r\n{id}\r\n{signature}\r\n{type}\r\nContent-Length: 10\r\n\r\nerror: x\n\n | keep |
      | HTTP/1.1 500 Error\r\n{id}\r\n{signature}\r\n{stream}\r\n\r\n0\r\n\r\n | keep |
      | HTTP/1.1 500 Error\r\n{id}\r\n{signature}\r\n{type}\r\n\r\nerror: x\n\n | close |
      | HTTP/1.1 404 None\r\n{id}\r\n{signature}\r\n{type}\r\nContent-Length: 0\r\n\r\n | keep  |
      | HTTP/1.1 000 None\r\n{id}\r\n{signature}\r\n{stream}\r\n\r\n0\r\n\r\n | keep  |
      | HTTP/1.1 202 Soon\r\n{id}\r\n{signature}\r\n{stream}\r\n\r\n0\r\n\r\n | keep |
      | HTTP/1.1 204 None\r\n{id}\r\n{signature}\r\n{type}\r\nContent-Length: 0\r\n\r\n | keep |
      | HTTP/1.1 206 Part\r\n{id}\r\n{signature}\r\n{type}\r\nContent-Length: 10\r\n\r\nerror: x\n\n | keep |
      | HTTP/1.1 301 Moved\r\n{id}\r\n{signature}\r\n{type}\r\nContent-Length: 0\r\n\r\n | keep |
    When 2 callers request a resumable stream for each of these
    Then each stream that began is cut after its 2 events
    And no caller gets a byte of the upstream's response

  # Guards against a stream that is cut although nothing is missing: the first upstream
  # broke off after the last event, and the next one ends the rest, which is empty.
  Scenario: A stream breaks off and the next upstream has nothing left of it
    Given a site whose upstreams break off each stream after 2 events and answer a resumption
      | start                                                                | end  |
      | HTTP/1.1 200 OK\r\n{id}\r\n{signature}\r\n{stream}\r\n\r\n0\r\n\r\n | keep |
    When 2 callers request a resumable stream for each of these
    Then each stream that began is whole after its 2 events
    And no caller gets a byte of the upstream's response
