Feature: Malicious callers are refused or limited, and do not affect other callers

  Scenario: A request's body cannot be treated as a second request
    Given an engine
    And a daemon with an embedded platform
    When a request whose body contains another request is sent with each of these heads
      | head                                             |
      | Content-Length: 5 / Transfer-Encoding: chunked   |
      | Transfer-Encoding: chunked / Content-Length: 5   |
      | Content-Length: 0 / Content-Length: 5            |
      | Content-Length: 5 / Content-Length: 5            |
      | Transfer-Encoding: chunked / Transfer-Encoding: x |
      | Transfer-Encoding: x                             |
      | Content-Length : 5                               |
      | Content-Length: +5                               |
      | Content-Length: ٥                                |
      | Content-Length: 5, 5                             |
      | X-Folded: a /  b: c / Content-Length: 0          |
      | X-Feed: a<LF>Content-Length: 5                     |
    Then each request receives one response with status 400, and its connection is closed
    And the engine has run no request

  Scenario: Callers that send slowly receive a timeout response
    Given an engine
    And a daemon that allows a caller 1 s for a head and 1 s for a body
    When 20 callers send a head and 20 callers send a body, one byte at a time
    Then a request of another caller succeeds
    And each slow caller receives status 408 within 6 s

  Scenario: Idle connections are limited and do not block other callers
    Given an engine
    And a daemon that accepts at most 2050 connections
    When 2000 connections are opened and stay idle
    Then a request of another caller succeeds
    When 100 connections are opened and stay idle
    Then the daemon closes at least 40 connections
    When the idle connections are closed
    Then a request of another caller succeeds

  Scenario: A caller cannot act for another team
    Given an engine
    And a daemon with an embedded platform
    When a client requests a chat completion in another team's name
    Then the request runs for the team that owns the key
