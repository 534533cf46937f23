Feature: The operators' interface

  Background:
    Given an instance's operators' interface

  Scenario Outline: Each endpoint but health needs an operator's key
    When <method> <path> is asked with <key>
    Then the status is <status>
    And <count> wrong keys are counted for operators

    Examples:
      | method | path                  | key          | status | count |
      | GET    | /v1/status            | no key       | 401    | 1     |
      | GET    | /v1/status            | a wrong key  | 401    | 1     |
      | GET    | /v1/status            | two keys     | 401    | 1     |
      | GET    | /v1/status            | a digest     | 401    | 1     |
      | GET    | /v1/records           | no key       | 401    | 1     |
      | GET    | /v1/upstreams         | no key       | 401    | 1     |
      | GET    | /v1/instances         | no key       | 401    | 1     |
      | GET    | /v1/requests/a-1      | no key       | 401    | 1     |
      | POST   | /v1/records/apply     | no key       | 401    | 1     |
      | POST   | /v1/upstreams/x/drain | a wrong key  | 401    | 1     |
      | GET    | /v1/status            | the key      | 200    | 0     |
      | GET    | /v1/upstreams         | the key      | 200    | 0     |
      | GET    | /v1/instances         | the key      | 200    | 0     |
      | GET    | /v1/status            | a second key | 200    | 0     |
      | GET    | /health               | no key       | 200    | 0     |
      | GET    | /ready                | no key       | 200    | 0     |
      | GET    | /metrics              | no key       | 200    | 0     |
      | GET    | /nothing              | the key      | 404    | 0     |
      | DELETE | /v1/records           | the key      | 405    | 0     |

  Scenario: Metrics need a key where the settings say so
    Given an instance's operators' interface whose metrics need a key
    When GET /metrics is asked with no key
    Then the status is 401
    When GET /metrics is asked with the key
    Then the status is 200

  Scenario: An instance that is not ready says so
    Given it is not ready
    When GET /ready is asked with no key
    Then the status is 503

  Scenario: Records are applied, read back and previewed
    When the records of docs/RECORDS.md are sent as a dry run
    Then the result is "preview" with status 200
    And the revision in force is 0
    When the records of docs/RECORDS.md are sent
    Then the result is "accepted" with status 200
    And the revision in force is 1
    When the records of docs/RECORDS.md are sent
    Then the result is "unchanged" with status 200
    When GET /v1/records?kind=team is asked with the key
    Then the records are team/agents, team/clerks, each at revision 1
    When GET /v1/records?kind=class&name=gate is asked with the key
    Then the records are class/gate, each at revision 1

  Scenario: A conflict shows both sides and is counted
    Given team "a" was put with weight 1 and then with weight 2
    When team "a" is sent with weight 3, edited from revision 1
    Then the result is "conflict" with status 409
    And both sides are weight 2.0 at revision 2 and weight 3.0 from revision 1
    And 1 rejection is counted for "conflict"

  Scenario: Wrong records tell every problem and are counted
    When records with two mistakes are sent
    Then the result is "invalid" with status 422
    And 2 problems are told with file, key and remedy
    And 1 rejection is counted for "invalid"
    And the revision in force is 0

  Scenario: Without the platform a change is refused with a time to come back
    Given the platform is down
    When team "a" is sent with weight 3, edited from revision 0
    Then the result is "refused" with status 503
    And the answer has a Retry-After header
    And 1 rejection is counted for "platform-unavailable"

  Scenario: A change id stands for one change
    Given team "a" was put with weight 1 and then with weight 2
    When team "a" is sent again under the first's id with weight 7
    Then the result is "refused" with status 409
    And 1 rejection is counted for "change-id-reused"

  Scenario Outline: A body that is no document is refused and counted
    When the body <body> is sent to be applied
    Then the status is 400
    And 1 rejection is counted for "malformed"
    And the revision in force is 0

    Examples:
      | body |
      | (empty) |
      | {"change_id": "a", "files": [{"name": "f", "te |
      | {"change_id": "a", "files": []} |
      | {"change_id": "a b", "files": [{"name": "f", "text": ""}]} |
      | {"change_id": "a", "files": [{"name": "f", "text": 5}]} |
      | {"change_id": "a", "files": [{"name": "f", "text": ""}], "dry_run": "no"} |
      | {"change_id": "a", "files": [{"name": "f", "text": ""}], "force": true} |
      | {"change_id": "a", "files": [{"name": "f", "text": ""}], "base_revision": -1} |
      | {"change_id": "a", "files": [{"name": "f", "text": ""}], "expected_revisions": {"cat/a": 1}} |
      | {"change_id": "a", "files": [{"name": "f", "text": ""}, {"name": "f", "text": ""}]} |

  Scenario: A body above the bound is refused and counted
    Given an instance's operators' interface that takes 5000 bytes
    When a body of 6000 bytes is sent to be applied
    Then the status is 413
    And 1 rejection is counted for "malformed"

  Scenario: Any body gets an answer, and none but a change changes anything
    Then 100 generated bodies are refused without a failure of the instance

  Scenario: A request is explained
    When GET /v1/requests/a-1 is asked with the key
    Then its events are queued, ended
    When GET /v1/requests/unknown is asked with the key
    Then the status is 404

  Scenario: An upstream is drained and taken back
    When the records of docs/RECORDS.md are sent
    And POST /v1/upstreams/engine-1/drain is asked with the key
    Then upstream "engine-1" is drained
    When POST /v1/upstreams/engine-1/drain is asked with the key
    Then upstream "engine-1" is drained
    And the revision in force is 2
    When engine-1 is asked to be taken back
    Then upstream "engine-1" is not drained
    When engine-1 is asked to be taken back
    Then upstream "engine-1" is not drained
    And the revision in force is 3
    When POST /v1/upstreams/none/drain is asked with the key
    Then the status is 404

  Scenario: Without the platform a drain is remembered by the instance
    Given the records of docs/RECORDS.md are in force
    And the platform is down
    When POST /v1/upstreams/engine-1/drain is asked with the key
    Then the instance remembers that "engine-1" is drained
    Given the platform is up
    When POST /v1/upstreams/engine-1/drain is asked with the key
    Then upstream "engine-1" is drained
