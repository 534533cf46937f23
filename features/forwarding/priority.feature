Feature: Urgent requests go before less urgent ones at an upstream

  Scenario: Equal teams are ordered by their routes
    Given routes with the priorities "0,1,2" and teams with the priorities "1,1"
    Then the ranks of the first team's requests are "0,1,2"

  Scenario: An urgent team goes before a less urgent one on any route
    Given routes with the priorities "0,1,2" and teams with the priorities "0,1"
    Then each request of the first team goes before each of the second

  Scenario: Teams without a priority leave the routes' own
    Given routes with the priorities "0,1,2" and teams with the priorities "none,none"
    Then the ranks of the first team's requests are "0,1,2"

  Scenario: More pairs than levels keep their order
    Given routes with the priorities "0,1,2,3" and teams with the priorities "0,1,2,3"
    Then the ranks lie from 0 to 9 and keep the order of the pairs
