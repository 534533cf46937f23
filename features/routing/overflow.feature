Feature: Overflow to another data centre

  Scenario: A request goes to the data centre with the shortest wait including the network delay
    Given a local wait of 2 seconds
    And other data centres
      | name | wait_s | delay_s | age_s | free |
      | dc2  | 0      | 0.01    | 0.5   | 10   |
      | dc3  | 0.5    | 0.01    | 0.5   | 0    |
    Then the request overflows to "dc2"

  Scenario: A request with a short local wait stays
    Given a local wait of 0.1 seconds
    And other data centres
      | name | wait_s | delay_s | age_s | free |
      | dc2  | 0      | 0.02    | 0.5   | 10   |
    Then the request waits locally

  Scenario: Two data centres with similar queues keep their own requests
    Given a local wait of 2 seconds
    And other data centres
      | name | wait_s | delay_s | age_s | free |
      | dc2  | 1.5    | 0       | 0     | 0    |
    Then the request waits locally

  Scenario: No request goes to a data centre whose summary is too old
    Given a local wait of 60 seconds
    And other data centres
      | name | wait_s | delay_s | age_s | free |
      | dc2  | 0      | 0.01    | 6     | 10   |
    Then the request waits locally

  Scenario: The estimated wait grows with the age of the summary
    Given a local wait of 2 seconds
    And other data centres
      | name | wait_s | delay_s | age_s | free |
      | dc2  | 0.8    | 0       | 4     | 0    |
      | dc3  | 0.9    | 0       | 0     | 0    |
    Then the request overflows to "dc3"

  Scenario: A group with few free slots gets few requests
    Given a local wait of 2 seconds
    And other data centres
      | name | wait_s | delay_s | age_s | free | running |
      | dc2  | 0      | 0.01    | 0.5   | 1    | 9       |
    Then 5 to 20 of 100 requests overflow
    And the same choice is made again for each request

  Scenario: Less urgent requests elsewhere don't reduce the share of urgent requests sent there
    Given a local wait of 2 seconds
    And other data centres
      | name | wait_s | delay_s | age_s | free | running | drafts |
      | dc2  | 0      | 0.01    | 0.5   | 5    | 5       | 40     |
    Then 40 to 60 of 100 requests overflow
