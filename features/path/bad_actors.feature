Feature: Callers that mean harm are refused or bounded, and hurt no other caller

  Scenario: A body can't pass for a second request
    Given an engine
    And a daemon with its embedded platform
    When a request is sent in whose body another one stands, with each of these heads
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
    Then each is answered once, with status 400, and its connection is closed
    And the engine has run nothing

  Scenario: Callers that send slowly are answered in time
    Given an engine
    And a daemon whose callers may take 1 s for a head and 1 s for a body
    When 20 callers send a head and 20 a body, a byte at a time
    Then another caller is answered meanwhile
    And each slow caller is told status 408 within 6 s

  Scenario: Idle connections are bounded and let others in
    Given an engine
    And a daemon that takes 2050 connections
    When 2000 connections are opened and stay idle
    Then another caller is answered meanwhile
    When 100 connections are opened and stay idle
    Then at least 40 connections are closed by the daemon
    When the idle connections are closed
    Then another caller is answered meanwhile

  Scenario: A caller can't name another team
    Given an engine
    And a daemon with its embedded platform
    When a chat completion is asked for in another team's name
    Then it runs for the team of its key
