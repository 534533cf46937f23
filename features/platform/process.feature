Feature: The program's start and end

  Scenario: A planned stop cuts off no request in progress
    Given a site whose upstream streams 40 events
    When a caller streams while the program is stopped
    Then it got 40 events
    And the answer is whole
    And the instance was not ready after the stop
    And the program ended with 0

  Scenario: A hang-up signal doesn't end it
    Given a site whose upstream answers well
    When its settings ask for another time to stop and it is told so
    And a caller reads with its key
    Then it gets "done"
    And it logged "settings-reloaded"

  Scenario: A settings file that can't be read changes nothing
    Given a site whose upstream answers well
    When its settings are spoiled and it is told so
    And a caller reads with its key
    Then it gets "done"
    And it logged "settings-rejected"

  Scenario: A hang-up signal while its libraries load doesn't end it
    Given a site whose upstream answers well
    When the program is started again and told so as soon as it can hear it
    And a caller reads with its key
    Then it gets "done"
    And it could hear it before any library was loaded

  Scenario: A large configuration may take its time on a slow link
    Given a site whose store's answers take 2 s to come
    When a caller reads with its key
    Then it gets "done"

  Scenario Outline: A settings file that changes <how> takes effect
    Given a site whose settings name a store that isn't there
    When its settings are corrected <how>
    And <seconds> s pass
    And a caller reads with its key
    Then it gets "done"
    And it logged "settings-reloaded"

    Examples:
      | how              | seconds |
      | with a signal    | 1.5     |
      | without a signal | 6       |

  Scenario Outline: Wrong settings are told in one line
    Given a site whose settings have the line "<line>"
    Then the program ends with 2 and names "<name>"

    Examples:
      | line                     | name             |
      | platform.address=nowhere | platform.address |
      | listen.ready=1.2.3.4:x   | listen.ready     |
      | bounds.grace-s=-1        | grace_s          |

  Scenario: Each refused request has a line that tells why
    Given a site whose upstream answers well
    When a caller reads with the key "never-given"
    Then its "request-ended" line tells the reason "authentication" and the version

  Scenario: Metrics are served
    Given a site whose upstream answers well
    When a caller reads with its key
    Then the metrics count 1 completed request
