Feature: The daemon as a program

  Scenario Outline: A daemon that can't start prints the reason and exits
    Given settings with <fault>
    When the daemon is started with these settings
    Then the daemon ends with exit code <code>
    And its standard error contains "<words>"

    Examples:
      | fault                       | code | words                 |
      | an unknown key              | 2    | callers.prot          |
      | two listeners on one port   | 2    | port                  |
      | records that can't be read  | 2    | absent.toml           |
      | records of a wrong version  | 2    | schema_version        |
      | a port that is taken        | 3    | can't be bound        |

  Scenario: Operators can read a daemon's health, readiness, metrics and status
    Given a running daemon
    Then its health and readiness can be read without a key
    And its metrics count each refusal, retry and outcome
    And its status can be read only with an operator's key
    And its status reports revision 1

  Scenario: A daemon that is stopping is not ready and refuses new calls
    Given a running daemon
    When a slow call is in progress and the daemon gets SIGTERM
    Then the daemon is not ready
    And a new call is refused with the reason "shutting-down" and a Retry-After header
    And the slow call completes

  Scenario: SIGHUP applies changed records, operators' keys and log settings
    Given a running daemon
    When its records list another model and the daemon gets SIGHUP
    Then its status reports revision 2
    And only the new operators' key is accepted
    And its logs are JSON

  Scenario: SIGHUP with invalid settings changes nothing
    Given a running daemon
    When an unknown key is added to its settings and the daemon gets SIGHUP
    Then its log contains "settings-rejected"
    And its status reports revision 1

  Scenario: A daemon starts without its platform and serves once the platform responds
    Given a daemon whose platform does not respond
    Then the daemon is not ready
    And a new call is refused with the reason "starting" and a Retry-After header
    When the platform starts
    Then the daemon becomes ready

  Scenario: The trace of a request can be read at another instance
    Given two running daemons that are peers
    When a call is sent to the first daemon
    Then the second daemon returns the trace of the call

  Scenario: Callers, operators and peers use TLS when the settings enable it
    Given two running daemons that are peers and use TLS
    Then a caller and an operator are served over TLS
    And the two daemons are connected

  Scenario: Changes are pushed to an instance that accepts connections but can't open any
    Given a daemon that can reach neither the platform nor a peer
    And a daemon that has records and connects to the first daemon
    Then the first daemon is ready with the records of the second
