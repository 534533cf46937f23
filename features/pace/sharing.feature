Feature: Instances share what they learn by datagrams through the reader

  # Guards against messages that can't be read back, and against figures that are lost on
  # the way from an instance by the reader to the others.
  Scenario: What one instance observed is known to the others after two messages
    Given 4 instances of one data centre, of which the first is the reader
    And the second has observed that upstream u-1 is slow
    When all have shared once, and the reader once more
    Then the fourth knows that u-1 is slow
    And the fourth knows the load that u-1 reported to the second
    And the metrics of the fourth show the slowness of u-1

  # Guards against instances that divide the upstreams differently between long and short
  # prompts, so that the same prompt is cached at several.
  Scenario: The others divide the upstreams as the reader does
    Given 4 instances of one data centre, of which the first is the reader
    And the second has observed that upstream u-1 is slow
    When requests come to the reader
    And all have shared once, and the reader once more
    Then the fourth gives as many upstreams to short prompts as the reader
    And 6 s later it finds their number itself

  # Guards against messages where no upstream reports its pace.
  Scenario: Nothing is sent where no upstream reports its pace
    Given 4 instances of one data centre, of which the first is the reader
    When all have shared once, and the reader once more
    Then no message was sent

  # Guards against totals that a former reader keeps sending or collecting.
  Scenario: An instance that is not the reader doesn't add up what it gets
    Given 4 instances of one data centre, of which the first is the reader
    And the second has observed that upstream u-1 is slow
    When the second sends to the third instead of the reader
    Then the third sends no totals

  # Guards against own figures that are sent to a reader that has gone.
  Scenario: Nothing is sent to a reader that is silent
    Given 4 instances of one data centre, of which the first is the reader
    And the second has observed that upstream u-1 is slow
    When 6 s pass in which no page arrives
    And all have shared once, and the reader once more
    Then the second has sent nothing

  # Guards against messages that grow with the number of upstreams without bound.
  Scenario: With many upstreams a bounded part is sent each time, and all in turn
    Given 4 instances of one data centre, of which the first is the reader
    And the reader has observed 500 upstreams
    When the reader shares 3 times
    Then each time it sent at most 3 messages
    And the totals of all 500 upstreams have arrived at the fourth

  # Guards against a message that ends the process: an unknown upstream, or values that
  # aren't numbers or are far out of range.
  Scenario: Random messages of the kind change nothing that would end the process
    Given 4 instances of one data centre, of which the first is the reader
    And the second has observed that upstream u-1 is slow
    Then random entries are taken up without an error, and a choice is still made
