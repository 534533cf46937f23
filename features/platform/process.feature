Feature: Start, reload and stop of the program

  Scenario: Stopping the program truncates no request in progress
    Given a site whose upstream streams 40 events
    When the program is stopped while a caller receives a stream
    Then the caller got 40 events
    And the response is whole
    And the instance was not ready after the stop signal
    And the program exited with 0

  Scenario: SIGHUP does not end the program
    Given a site whose upstream answers correctly
    When the settings change the grace period and SIGHUP is sent
    And a caller sends an idempotent request with its key
    Then the caller gets "done"
    And the program logged "settings-reloaded"

  Scenario: An invalid settings file changes nothing
    Given a site whose upstream answers correctly
    When the settings are made invalid and SIGHUP is sent
    And a caller sends an idempotent request with its key
    Then the caller gets "done"
    And the program logged "settings-rejected"

  Scenario: SIGHUP does not end the program while it imports its libraries
    Given a site whose upstream answers correctly
    When the program is restarted and SIGHUP is sent as soon as it is ignored
    And a caller sends an idempotent request with its key
    Then the caller gets "done"
    And SIGHUP was ignored before any library was loaded

  Scenario: A configuration that takes long to transfer is accepted
    Given a site whose store takes 2 s to send a response
    When a caller sends an idempotent request with its key
    Then the caller gets "done"

  Scenario Outline: A change of the settings file <how> takes effect
    Given a site whose settings name an address without a store
    When the settings are corrected <how>
    And <seconds> s pass
    And a caller sends an idempotent request with its key
    Then the caller gets "done"
    And the program logged "settings-reloaded"

    Examples:
      | how              | seconds |
      | with a signal    | 1.5     |
      | without a signal | 6       |

  Scenario Outline: Invalid settings are reported in one line
    Given a site whose settings have the line "<line>"
    Then the program exits with 2 and its output names "<name>"

    Examples:
      | line                     | name             |
      | platform.address=nowhere | platform.address |
      | listen.ready=1.2.3.4:x   | listen.ready     |
      | bounds.grace-s=-1        | grace_s          |

  Scenario: A refused request is logged with the reason
    Given a site whose upstream answers correctly
    When a caller sends an idempotent request with the key "never-given"
    Then the "request-ended" log line has the reason "authentication" and the version

  Scenario: Metrics are served
    Given a site whose upstream answers correctly
    When a caller sends an idempotent request with its key
    Then the metrics count 1 completed request
