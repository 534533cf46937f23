Feature: Requests are ranked by team priority and route priority

  Scenario: Requests of teams with equal priorities are ranked by their routes
    Given routes with the priorities "0,1,2" and teams with the priorities "1,1"
    Then the ranks of the first team's requests are "0,1,2"

  Scenario: Requests of an urgent team come before those of a less urgent team on every route
    Given routes with the priorities "0,1,2" and teams with the priorities "0,1"
    Then each request of the first team ranks before each request of the second team

  Scenario: Requests of teams without a priority are ranked by their routes
    Given routes with the priorities "0,1,2" and teams with the priorities "none,none"
    Then the ranks of the first team's requests are "0,1,2"

  Scenario: More pairs of priorities than levels keep their order
    Given routes with the priorities "0,1,2,3" and teams with the priorities "0,1,2,3"
    Then the ranks range from 0 to 9 and keep the order of the pairs
