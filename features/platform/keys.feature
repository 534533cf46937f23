Feature: A key that was taken away stops working, whatever can be heard

  Background:
    Given a site whose upstream answers well

  Scenario: A known key is served and its name is passed on, not the key
    When a caller reads with its key
    Then it gets "done"
    And the upstream read the header "x-tenant: agents"
    And the upstream read no header "authorization"

  Scenario: An unknown key is refused
    When a caller reads with the key "never-given"
    Then it gets the status 401

  Scenario: A new configuration takes a key away
    When the configuration without the key is written
    And 0.5 s pass
    And a caller reads with its key
    Then it gets the status 401

  Scenario Outline: An instance that can't hear the store stops checking keys
    When the store is <fault>
    And the configuration without the key is written
    And 2.5 s pass
    And a caller reads with its key
    Then it gets the status 503
    And it is told when to come back
    And the instance is not ready

    Examples:
      | fault       |
      | unavailable |
      | silent      |

  Scenario: It serves again once the store is back
    When the store is unavailable
    And 2.5 s pass
    And the store is well
    And 1 s pass
    And a caller reads with its key
    Then it gets "done"

  Scenario: The history that it follows is dropped
    When the store's history is dropped
    And the configuration without the key is written
    And 2 s pass
    And a caller reads with its key
    Then it gets the status 401
