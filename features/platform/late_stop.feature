Feature: Each request that an instance takes while it stops gets a final response

  # Guards against requests that come late in the grace period, are passed on, and are cut off
  # without a response at its end.
  Scenario Outline: Requests come at each tenth of the grace period on <which> connections
    Given a site whose upstream answers nothing, or only the first event of a stream
    When the program is stopped and requests of each kind come at each tenth of the grace period on <which> connections
    Then each request that reached the upstream got a response that does not promise that it has not run
    And each other one got the promise that it has not run, or was never read
    And each upstream was told no deadline after the end of the grace period
    And the program exited with 0

    Examples:
      | which |
      | new   |
      | kept  |

  Scenario: Requests that are in progress when the stop begins
    Given a site whose upstream answers nothing, or only the first event of a stream
    When requests of each kind are in progress and the program is stopped
    Then each request that reached the upstream got a response that does not promise that it has not run
    And the program exited with 0

  # Guards against a request that came before the stop and is sent once more during it with
  # the time limit that it had before.
  Scenario: A request in progress is sent again while the program stops
    Given a site whose upstream answers nothing, on routes that allow 6 s
    When an idempotent request is in progress and the program is stopped
    Then the upstream got the request twice
    And each upstream was told no deadline after the end of the grace period
