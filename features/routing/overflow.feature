Feature: Overflow to another data centre

  Scenario: A request goes where it waits less in spite of the way
    Given a wait of 2 seconds here
    And other data centres
      | name | wait_s | delay_s | age_s | free |
      | dc2  | 0      | 0.01    | 0.5   | 10   |
      | dc3  | 0.5    | 0.01    | 0.5   | 0    |
    Then the request overflows to "dc2"

  Scenario: A short wait is not worth the way
    Given a wait of 0.1 seconds here
    And other data centres
      | name | wait_s | delay_s | age_s | free |
      | dc2  | 0      | 0.02    | 0.5   | 10   |
    Then a request waits here

  Scenario: Two data centres with equal queues keep their own work
    Given a wait of 2 seconds here
    And other data centres
      | name | wait_s | delay_s | age_s | free |
      | dc2  | 1.5    | 0       | 0     | 0    |
    Then a request waits here

  Scenario: Nothing goes to a data centre not heard of for long
    Given a wait of 60 seconds here
    And other data centres
      | name | wait_s | delay_s | age_s | free |
      | dc2  | 0      | 0.01    | 6     | 10   |
    Then a request waits here

  Scenario: The older a summary, the longer its wait is taken to be
    Given a wait of 2 seconds here
    And other data centres
      | name | wait_s | delay_s | age_s | free |
      | dc2  | 0.8    | 0       | 4     | 0    |
      | dc3  | 0.9    | 0       | 0     | 0    |
    Then the request overflows to "dc3"

  Scenario: A few free slots draw few requests
    Given a wait of 2 seconds here
    And other data centres
      | name | wait_s | delay_s | age_s | free | running |
      | dc2  | 0      | 0.01    | 0.5   | 1    | 9       |
    Then 5 to 20 of 100 requests go away
    And each request decides the same again

  Scenario: Drafts that run and wait elsewhere don't keep a query here
    Given a wait of 2 seconds here
    And other data centres
      | name | wait_s | delay_s | age_s | free | running | drafts |
      | dc2  | 0      | 0.01    | 0.5   | 5    | 5       | 40     |
    Then 40 to 60 of 100 requests go away
