Feature: Counts, clocks, messages and demand

  # Guards against windows of another time while a clock is wrong.
  Scenario: Jumps of the wall clock don't move true time
    Given a wall clock that is read each second
    When it is 3600 s ahead for 25 s
    Then true time was never more than 0.01 s off
    When it stays 3600 s ahead for 61 s
    Then true time is 3600 s ahead

  # Guards against one wrong clock that decides windows too early.
  Scenario: Most processes agree on true time
    Given reports of 5 processes, of which 2 have a clock that is 100 s ahead
    Then the holder's true time is at most 0.01 s off

  # Guards against counts that depend on the order or the number of datagrams.
  Scenario: Reports are merged to the same counts in any order
    Then drawn reports that are lost, repeated and reordered give the highest counts

  # Guards against messages that are too large to be sent.
  Scenario Outline: The counts of a data centre fit into messages
    Given a reader that knows <instances> instances of 24 teams and 5 services
    Then its counts of one second are sent in at most <bytes> bytes
    And all counts of 25 s are sent after a change of the holder, each datagram complete

    Examples:
      | instances | bytes |
      | 28        | 7500  |
      | 39        | 10500 |
      | 40        | 10700 |

  # Guards against a team list that no division makes small enough.
  Scenario: The counts of 12,000 teams are sent in several messages
    Given an instance that counted requests of 12000 teams
    Then all of its counts arrive at the receiver

  # Guards against rows that stop the holder.
  Scenario: Rows that hold something else are passed over
    Then drawn rows never cause an error at take-over
    And a row of an earlier era is not sent

  # Guards against counts that no row can hold.
  Scenario: Counts that are too large for a row are given up
    Then a window of 60000 teams is given up and the next one is decided

  # Guards against demand that is counted twice, or from processes that have ended.
  Scenario: Demand is derived from differences
    Given 3 instances with 20 arrivals, 5 refusals and 8 running requests a second each
    When they have reported for 6 s
    Then the demand is 60 arrivals, 15 refusals and 24 busy slots of 3 instances
    When one of them restarts and the others go on for 2 s
    Then the demand is 60 arrivals, 15 refusals and 24 busy slots of 4 instances
    When they have reported for 6 s
    Then the demand is 60 arrivals, 15 refusals and 24 busy slots of 3 instances
    When no report arrives for 6 s
    Then there is no demand

  # Guards against calls that two instances count.
  Scenario: A borrowed call counts where it runs
    Then a borrowed call counts as begun and running, but not as arrived or refused
