Feature: Parsing and validation of records in both schema versions

  Scenario: The documents in docs/RECORDS.md, of versions 1 and 2, are accepted together
    Given the documents of docs/RECORDS.md
    When the documents are parsed together
    Then the configuration has 2 classes, 2 teams, 2 bindings and 2 upstreams

  Scenario: Equivalent classes of schema versions 1 and 2 give the same record
    Given a version 1 class with a first token target of 1200 ms and priority urgent
    And a version 2 class with a first token target of 1.2 s and tier 0
    Then both classes give the same record

  Scenario: All problems in all files are reported with line, value and remedy
    Given a file "a.toml" with
      """
      schema_version = 2
      [[class]]
      name = "gate"
      tier = 7
      first_token_target_s = "soon"
      colour = "red"
      [[application]]
      name = "x"
      team = "t"
      key_sha256 = "a-key-in-the-clear"
      """
    And a file "b.toml" with
      """
      schema_version = 3
      """
    And a file "c.toml" with
      """
      schema_version = [
      """
    When the files are parsed
    Then these problems are reported
      | place    | key                           | value  |
      | a.toml:4 | class[0].tier                 | 7      |
      | a.toml:5 | class[0].first_token_target_s | 'soon' |
      | a.toml:6 | class[0].colour               | 'red'  |
      | a.toml:10 | application[0].key_sha256    | (not shown) |
      | b.toml:1 | schema_version                | 3      |
      | c.toml   |                               |        |

  Scenario: A record that is defined twice is rejected
    Given a file "a.toml" with
      """
      schema_version = 2
      [[team]]
      name = "agents"
      """
    And a file "b.toml" with
      """
      schema_version = 1
      [[team]]
      name = "agents"
      """
    When the files are parsed
    Then these problems are reported
      | place    | key         | value |
      | b.toml:2 | team/agents |       |

  Scenario Outline: Inconsistent records are rejected
    Given the documents of docs/RECORDS.md
    And a further change with <change>
    Then the change is rejected with a problem at <key>

    Examples:
      | change                                | key                       |
      | a binding to a missing class          | binding/wrong.class       |
      | a binding to a missing team           | binding/wrong.team        |
      | a binding to another's application    | binding/wrong.application |
      | a second binding of the same subject  | binding/wrong.team        |
      | a route of a missing service          | route/wrong.service       |
      | deletion of the last binding          | application/mart-queries.team |
      | deletion of a class in use            | binding/agents-gate.class |
      | deletion of a missing team            | team/nobody               |
      | a power cap below one slot            | power_cap/a.watts         |
      | an upstream without its cost          | upstream/wrong.watts_per_slot |
      | an upstream with another's address    | upstream/wrong.url        |
      | a key used twice                      | application/wrong.key_sha256 |
      | a drain of a missing upstream         | drain/none.upstream       |
      | a service named as a model             | upstream/returns-1.models |

  Scenario: The most specific binding applies
    Given bindings with and without an application and a target
    Then a binding with application and target takes precedence over one with the application only
    And a binding with the application only takes precedence over one with the target only
    And a binding with the target only takes precedence over one for the whole team
    And an unknown key is refused with reason "authentication"
    And an application without a matching binding is refused with reason "no-binding"

  Scenario Outline: Routes determine which calls of plain services are idempotent
    Given the documents of docs/RECORDS.md
    Then the call <method> <path> of service "returns" is <verdict>

    Examples:
      | method | path                 | verdict        |
      | GET    | holdings/12          | idempotent     |
      | POST   | holdings/12          | not idempotent |
      | POST   | submissions/9        | not idempotent |
      | GET    | submissions/9        | idempotent     |
      | POST   | ./submissions        | not idempotent |
      | POST   | %73ubmissions        | not idempotent |
      | GET    | a/../submissions     | not idempotent |

  Scenario: Any input gives records or problems, never an exception
    Then 300 generated documents are parsed without an exception
