Feature: The store's clock bounds the age of the configuration

  Scenario: The age is uncertain by at most the round trip of an answer
    Given the store's clock is 100 s behind
    When an answer sent at 200 s arrives at 201.5 s with the store's time 100.2 s
    Then the age at 203 s is at least 2.8 s
    And the age at 203 s is at most 3 s

  Scenario: A short round trip makes the age after later long round trips exact
    Given the store's clock is 100 s behind
    When an answer sent at 200 s arrives at 200.01 s with the store's time 100.005 s
    And an answer sent at 201 s arrives at 202.8 s with the store's time 102.79 s
    Then the age at 203 s is at most 0.22 s
    And the age at 203 s is at least 0.2 s

  Scenario: The age is unbounded before the first answer
    Given the store's clock is 100 s behind
    Then the age at 203 s is at least 1000 s

  Scenario: The age includes the time spent suspended
    Given the store's clock is 100 s behind
    When an answer sent at 200 s arrives at 200.01 s with the store's time 100.005 s
    Then the age at 260 s is at least 59 s

  Scenario: After a restart of the store's clock the new clock is used
    Given the store's clock is 100 s behind
    When an answer sent at 200 s arrives at 200.01 s with the store's time 100.005 s
    And an answer sent at 210 s arrives at 210.01 s with the store's time 0.5 s
    Then the age at 211 s is at most 1.02 s

  Scenario: After the store was restored its clock is measured anew
    Given the store's clock is 100 s behind
    When an answer sent at 200 s arrives at 200.01 s with the store's time 100.005 s
    And an answer of the next era sent at 210 s arrives at 212 s with the store's time 111 s
    Then the age at 212 s is at least 1.9 s

  Scenario: With random round trips the age is never underestimated
    Given the store's clock is 100 s behind
    Then for random answers the age is never less than the true age
