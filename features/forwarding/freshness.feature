Feature: The age of what is known is proved by the store's clock

  Scenario: An answer proves no more than its round trip allows
    Given the store's clock is 100 s behind
    When an answer sent at 200 s comes at 201.5 s and tells the store's time 100.2 s
    Then the age at 203 s is at least 2.8 s
    And the age at 203 s is at most 3 s

  Scenario: A short round trip makes later long ones exact
    Given the store's clock is 100 s behind
    When an answer sent at 200 s comes at 200.01 s and tells the store's time 100.005 s
    And an answer sent at 201 s comes at 202.8 s and tells the store's time 102.79 s
    Then the age at 203 s is at most 0.22 s
    And the age at 203 s is at least 0.2 s

  Scenario: Nothing is proved before the first answer
    Given the store's clock is 100 s behind
    Then the age at 203 s is at least 1000 s

  Scenario: Time spent suspended counts
    Given the store's clock is 100 s behind
    When an answer sent at 200 s comes at 200.01 s and tells the store's time 100.005 s
    Then the age at 260 s is at least 59 s

  Scenario: A store whose clock starts anew proves by its new clock
    Given the store's clock is 100 s behind
    When an answer sent at 200 s comes at 200.01 s and tells the store's time 100.005 s
    And an answer sent at 210 s comes at 210.01 s and tells the store's time 0.5 s
    Then the age at 211 s is at most 1.02 s

  Scenario: Random round trips never prove more than is true
    Given the store's clock is 100 s behind
    Then for random answers the age is never less than the true one
