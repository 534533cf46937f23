Feature: Declarative records of both schema versions

  Scenario: The page's documents of versions 1 and 2 are accepted side by side
    Given the documents of docs/RECORDS.md
    When they are read together
    Then the configuration has 2 classes, 2 teams, 2 bindings and 2 upstreams

  Scenario: A version 1 class becomes the same record as a version 2 class
    Given a version 1 class of 1200 ms with priority urgent
    And a version 2 class of 1.2 s with tier 0
    Then both give the same record

  Scenario: Every problem of every file is told with line, value and remedy
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
    When the files are read
    Then these problems are told
      | place    | key                           | value  |
      | a.toml:4 | class[0].tier                 | 7      |
      | a.toml:5 | class[0].first_token_target_s | 'soon' |
      | a.toml:6 | class[0].colour               | 'red'  |
      | a.toml:10 | application[0].key_sha256    | (not shown) |
      | b.toml:1 | schema_version                | 3      |
      | c.toml   |                               |        |

  Scenario: A name that stands twice is refused
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
    When the files are read
    Then these problems are told
      | place    | key         | value |
      | b.toml:2 | team/agents |       |

  Scenario Outline: Records that don't fit together are refused
    Given the documents of docs/RECORDS.md
    And a further change <change>
    Then it is refused for <key>

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

  Scenario: The most specific binding wins
    Given teams bound in all four ways
    Then an application and target binding goes before an application's
    And an application's goes before its team's target binding
    And a team's target binding goes before the team's
    And an unknown key is refused for "authentication"
    And an unbound application is refused for "no-binding"

  Scenario Outline: Calls of plain services are idempotent as routes say
    Given the documents of docs/RECORDS.md
    Then <method> <path> of "returns" is <verdict>

    Examples:
      | method | path                 | verdict        |
      | GET    | holdings/12          | idempotent     |
      | POST   | holdings/12          | not idempotent |
      | POST   | submissions/9        | not idempotent |
      | GET    | submissions/9        | idempotent     |
      | POST   | ./submissions        | not idempotent |
      | POST   | %73ubmissions        | not idempotent |
      | GET    | a/../submissions     | not idempotent |

  Scenario: Any text gives records or problems, never an exception
    Then 300 generated documents are read without an exception
