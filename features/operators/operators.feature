Feature: Operator API

  Background:
    Given the operator API of an instance

  Scenario Outline: Every endpoint except health, readiness and metrics requires an operator's key
    When <method> <path> is requested with <key>
    Then the status is <status>
    And <count> authentication failures are counted for operators

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

  Scenario: Metrics require a key if the settings say so
    Given the operator API of an instance whose metrics require a key
    When GET /metrics is requested with no key
    Then the status is 401
    When GET /metrics is requested with the key
    Then the status is 200

  Scenario: The readiness endpoint reports that the instance is not ready
    Given the instance is not ready
    When GET /ready is requested with no key
    Then the status is 503

  Scenario: Records are previewed, applied and read back
    When the records of docs/RECORDS.md are sent as a dry run
    Then the result is "preview" with status 200
    And the revision in force is 0
    When the records of docs/RECORDS.md are sent
    Then the result is "accepted" with status 200
    And the revision in force is 1
    When the records of docs/RECORDS.md are sent
    Then the result is "unchanged" with status 200
    When GET /v1/records?kind=team is requested with the key
    Then the response lists the records team/agents, team/clerks, each at revision 1
    When GET /v1/records?kind=class&name=gate is requested with the key
    Then the response lists the records class/gate, each at revision 1

  Scenario: A conflict reports the record in force and the record sent, and is counted
    Given team "a" was set to weight 1 and then to weight 2
    When team "a" is sent with weight 3, edited from revision 1
    Then the result is "conflict" with status 409
    And the record in force has weight 2.0 at revision 2 and the record sent has weight 3.0, edited from revision 1
    And 1 rejection is counted for "conflict"

  Scenario: All problems of invalid records are reported, and the rejection is counted
    When records with two errors are sent
    Then the result is "invalid" with status 422
    And 2 problems are reported with file, key and remedy
    And 1 rejection is counted for "invalid"
    And the revision in force is 0

  Scenario: A change is refused with a Retry-After header while the platform is down
    Given the platform is down
    When team "a" is sent with weight 3, edited from revision 0
    Then the result is "refused" with status 503
    And the response has a Retry-After header
    And 1 rejection is counted for "platform-unavailable"

  Scenario: A change id can't be reused for another change
    Given team "a" was set to weight 1 and then to weight 2
    When team "a" is sent with weight 7 and the id of the first change
    Then the result is "refused" with status 409
    And 1 rejection is counted for "change-id-reused"

  Scenario Outline: A malformed body is refused and counted
    When the body <body> is sent to the apply endpoint
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

  Scenario: A body above the size limit is refused and counted
    Given the operator API of an instance with a body limit of 5000 bytes
    When a body of 6000 bytes is sent to the apply endpoint
    Then the status is 413
    And 1 rejection is counted for "malformed"

  Scenario: Invalid bodies are refused without changing any record
    Then 100 generated bodies are refused without an internal error of the instance

  Scenario: The trace of a request is returned
    When GET /v1/requests/a-1 is requested with the key
    Then the events of the trace are queued, ended
    When GET /v1/requests/unknown is requested with the key
    Then the status is 404

  Scenario: An upstream is drained, and the drain is ended
    When the records of docs/RECORDS.md are sent
    And POST /v1/upstreams/engine-1/drain is requested with the key
    Then upstream "engine-1" is drained
    When POST /v1/upstreams/engine-1/drain is requested with the key
    Then upstream "engine-1" is drained
    And the revision in force is 2
    When the end of the drain of engine-1 is requested
    Then upstream "engine-1" is not drained
    When the end of the drain of engine-1 is requested
    Then upstream "engine-1" is not drained
    And the revision in force is 3
    When POST /v1/upstreams/none/drain is requested with the key
    Then the status is 404

  Scenario: A drain is kept in memory while the platform is down
    Given the records of docs/RECORDS.md are in force
    And the platform is down
    When POST /v1/upstreams/engine-1/drain is requested with the key
    Then the instance keeps the drain of "engine-1" in memory
    Given the platform is up
    When POST /v1/upstreams/engine-1/drain is requested with the key
    Then upstream "engine-1" is drained
