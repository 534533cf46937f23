Feature: A revoked key stops working, whether or not the store can be reached

  Background:
    Given a site whose upstream answers correctly

  Scenario: A request with a known key is forwarded with the team's name instead of the key
    When a caller sends an idempotent request with its key
    Then the caller gets "done"
    And the upstream received the header "x-tenant: agents"
    And the upstream received no header "authorization"

  Scenario: An unknown key is refused
    When a caller sends an idempotent request with the key "never-given"
    Then the caller gets the status 401

  Scenario: A new configuration revokes a key
    When a configuration without the key is written
    And 0.5 s pass
    And a caller sends an idempotent request with its key
    Then the caller gets the status 401

  Scenario Outline: An instance that receives nothing from the store accepts no key
    When the store is <fault>
    And a configuration without the key is written
    And 2.5 s pass
    And a caller sends an idempotent request with its key
    Then the caller gets the status 503
    And the response has a Retry-After header
    And the instance is not ready

    Examples:
      | fault       |
      | unavailable |
      | silent      |

  Scenario: An instance accepts keys again once the store is available again
    When the store is unavailable
    And 2.5 s pass
    And the store is available
    And 1 s pass
    And a caller sends an idempotent request with its key
    Then the caller gets "done"

  Scenario: A key is revoked although the store has dropped its change history
    When the store's history is dropped
    And a configuration without the key is written
    And 2 s pass
    And a caller sends an idempotent request with its key
    Then the caller gets the status 401
