Feature: The daemon as a program

  Scenario Outline: A daemon that can't run says why in clear lines and starts nothing
    Given settings with <fault>
    When the daemon is started with them
    Then it ends with exit code <code>
    And its error names "<words>"

    Examples:
      | fault                       | code | words                 |
      | an unknown key              | 2    | callers.prot          |
      | two listeners on one port   | 2    | port                  |
      | records that can't be read  | 2    | absent.toml           |
      | records of a wrong version  | 2    | schema_version        |
      | a port that is taken        | 3    | can't be bound        |

  Scenario: Operators see a daemon's health, readiness, metrics and status
    Given a running daemon
    Then its health and readiness are told without a key
    And its metrics count each refusal, retry and outcome
    And its status needs a key
    And its status tells revision 1

  Scenario: A daemon that is stopping is not ready and takes nothing new
    Given a running daemon
    When a slow call has begun and the daemon is told to stop
    Then it is not ready
    And a new call is refused as "shutting-down" with a time to come back
    And the slow call ends whole

  Scenario: SIGHUP puts changed records, keys and logs in force
    Given a running daemon
    When its records name another model and it gets SIGHUP
    Then its status tells revision 2
    And its operators' key has changed
    And its logs are JSON

  Scenario: SIGHUP with wrong settings changes nothing
    Given a running daemon
    When its settings get an unknown key and it gets SIGHUP
    Then its log tells "settings-not-reread"
    And its status tells revision 1

  Scenario: Without its platform a daemon starts, and serves once the platform answers
    Given a daemon whose platform does not answer
    Then it is not ready
    And a new call is refused as "starting" with a time to come back
    When the platform answers
    Then it becomes ready

  Scenario: A request can be explained at another instance
    Given two running daemons that are peers
    When a call is sent to the first
    Then the second explains it

  Scenario: Callers, operators and peers speak TLS by settings
    Given two running daemons that are peers and speak TLS
    Then a caller and an operator are served over TLS
    And the two are connected

  Scenario: An instance that can be dialled but can't dial gets changes by push
    Given a daemon that reaches neither the platform nor a peer
    And a daemon with records that dials it
    Then the first is ready with the records of the second
