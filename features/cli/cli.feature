Feature: Command-line tool for operators

  Background:
    Given an instance and the record files of docs/RECORDS.md

  Scenario: Files are compared, applied and read back
    When "diff new.toml old.toml" is run
    Then the command exits with 1 and prints "+ team/agents"
    When "apply new.toml old.toml" is run
    Then the command exits with 0 and prints "accepted at revision 1"
    When "apply new.toml old.toml" is run
    Then the command exits with 0 and prints "nothing to change at revision 1"
    When "diff new.toml old.toml" is run
    Then the command exits with 0 and prints "nothing to change"
    When "get" is run
    Then the output is a record file of schema version 2 with the records in force

  Scenario Outline: Each command prints text or JSON
    Given the files are applied
    When "<command>" is run
    Then the command exits with 0 and prints "<text>"
    When "<command> --json" is run
    Then the command exits with 0 and prints a JSON object with "<member>"

    Examples:
      | command        | text                   | member     |
      | get team       | [[team]]               | records    |
      | get class gate | name = "gate"          | records    |
      | status         | data_centre            | instance   |
      | upstreams      | engine-1               | upstreams  |
      | instances      | north                  | instances  |
      | explain a-1    | outcome=completed      | events     |
      | diff new.toml  | nothing to change      | result     |
      | validate new.toml | the records are valid | is_valid |
      | drain engine-1 | engine-1 gets no new work | upstream |
      | drain --undo engine-1 | engine-1 gets work again | upstream |

  Scenario: A conflict shows both versions of the record and has its own exit code
    Given the files are applied
    When "get team agents" is run
    And a file "mine.toml" is written that sets team "agents" to weight 9
    And a file "theirs.toml" is written that sets team "agents" to weight 4
    And "apply theirs.toml" is run
    Then the command exits with 0 and prints "accepted at revision 2"
    When "apply --base=1 mine.toml" is run
    Then the command exits with 4 and prints "weight: in force 4, yours 9"
    And the command prints "edited from revision 1, since changed at revision 2"
    When "apply --base=2 mine.toml" is run
    Then the command exits with 0 and prints "accepted at revision 3"

  Scenario: A file may delete records
    Given the files are applied
    When a file "mine.toml" is written that deletes power_cap "a"
    And "diff mine.toml" is run
    Then the command exits with 1 and prints "- power_cap/a"
    When "apply mine.toml" is run
    Then the command exits with 0 and prints "accepted at revision 2"

  Scenario: The command apply is retried with the same change id if a response is lost
    Given the responses to the next 2 requests are lost
    When "apply new.toml old.toml" is run
    Then the command exits with 0 and prints "accepted at revision 1 (by an earlier request)"
    And the platform has stored 1 change

  Scenario: The command apply explains how to repeat the change if all responses are lost
    Given the responses to the next 5 requests are lost
    When "apply --change-id=mine new.toml old.toml" is run
    Then the command exits with 6 and prints "--change-id=mine"
    When "apply --change-id=mine new.toml old.toml" is run
    Then the command exits with 0 and prints "accepted at revision 1 (by an earlier request)"
    And the platform has stored 1 change

  Scenario: The commands validate and apply report the same problems of invalid files
    Given a file "wrong.toml" with two errors
    When "validate wrong.toml" is run
    Then the command exits with 3 and prints "wrong.toml:4: team[0].weight"
    And the command prints "wrong.toml:5: team[0].colour"
    When "apply wrong.toml" is run
    Then the command exits with 3 and prints "wrong.toml:4: team[0].weight"
    And the command prints "wrong.toml:5: team[0].colour"

  Scenario: The option --partial allows references to records that are not in the files
    When "validate old.toml" is run
    Then the command exits with 3 and prints "is not a class"
    When "validate --partial old.toml" is run
    Then the command exits with 0 and prints "the records are valid"

  Scenario: A change is refused while the platform is down
    Given the platform is down
    When "apply new.toml old.toml" is run
    Then the command exits with 5 and prints "platform-unavailable"

  Scenario: A drain while the platform is down is reported as temporary
    Given the files are applied
    And the platform is down
    When "drain engine-1" is run
    Then the command exits with 10 and prints "repeat this when the platform answers"

  Scenario Outline: Each failure has its exit code
    When "<command>" is run
    Then the command exits with <code> and prints "<text>"

    Examples:
      | command                          | code | text                  |
      | get cat                          | 2    | kind: give one of     |
      | get team nobody                  | 9    | no such record        |
      | explain unknown                  | 9    | knows this request    |
      | drain nobody                     | 9    | no upstream           |
      | apply missing.toml               | 2    | can't be read         |
      | apply                            | 2    | Usage:                |
      | fly                              | 2    | Usage:                |
      | status --timeout=soon            | 2    | not a number          |
      | apply --base=old new.toml        | 2    | not a number          |
      | apply --change-id=a/b new.toml   | 2    | change_id             |
      | status --address=http://127.0.0.1:1 | 8 | can't be reached      |
      | status --address=nowhere         | 2    | not an address        |
      | status --key-file=missing        | 2    | --key-file            |
      | status --ca=missing              | 2    | --ca                  |

  Scenario: A wrong key is refused and not printed
    Given the key "a wrong key" is in the environment
    When "status" is run
    Then the command exits with 7 and prints "operator's key"
    And the command doesn't print "a wrong key"

  Scenario: A key is read from a file and the instance's certificate is checked
    Given an instance with TLS and the operator's key in a file
    When "status --ca=ca.pem --key-file=key.txt" is run
    Then the command exits with 0 and prints "data_centre"
    When "status --key-file=key.txt" is run
    Then the command exits with 8 and prints "certificate"

  Scenario: The help text lists each command and exit code
    When the tool is run as a program with "--help"
    Then the command exits with 0 and prints "Exit codes:"
    And docs/CLI.md contains the same text
