Feature: Instances that are gone count nowhere, and those that are cut off count where they may run

  # Guards against shares of a limit, or of brittle upstreams, for instances that are gone:
  # of 575 requests 35 were served.
  Scenario Outline: Instances that are gone get no share of a limit
    Given an instance that lists 2 live instances and <gone> that are gone
    Then <listed> instances share a limit
    When those that answer were asked until the others are silent
    Then 3 instances share a limit

    Examples:
      | gone | listed |
      | 1    | 4      |
      | 60   | 63     |
      | 200  | 203    |

  # Guards against origins and records that are kept by instances that are gone (review/12).
  Scenario Outline: Instances that are gone keep nothing for others
    Given an instance that lists 2 live instances and <gone> that are gone
    When those that answer were asked once
    Then the live instances alone are chosen to keep something

    Examples:
      | gone |
      | 1    |
      | 60   |
      | 200  |

  # Guards against pages and questions that go to instances that are gone, and against
  # helpers that are asked in vain.
  Scenario: Suspected instances get no messages to all, and aren't asked for help
    Given an instance that lists 2 live instances and 60 that are gone
    When those that answer were asked 3 times
    Then 2 instances get messages, and 2 are asked for help

  # Guards against a budget, or a majority, of the instances on one side of a cut.
  Scenario: Silent instances may run elsewhere
    Given an instance that lists 2 live instances and 6 that are gone
    When those that answer were asked until the others are silent
    And the store is listed for 119 s
    Then 9 instances may be running
    When the store is listed for 140 s
    Then 3 instances may be running
    And the entries of the others are to be removed

  # Guards against an instance that takes all others for gone while it is cut off itself.
  Scenario: The store didn't answer while others were silent
    Given an instance that lists 2 live instances and 6 that are gone
    When those that answer were asked until the others are silent
    And 1000 s pass in which the store doesn't answer
    Then 9 instances may be running
    And no entry is to be removed
    When the store is listed for 1 s
    Then 9 instances may be running

  # Guards against an instance that woke or came back and is left out for good.
  Scenario Outline: An instance that was <state> is heard again
    Given an instance that lists 2 live instances and 6 that are gone
    When those that answer were asked until the others are silent
    And the store is listed for <listed_s> s
    And one of the others is heard
    Then 4 instances share a limit
    And 3 instances get messages, and 3 are asked for help
    And no entry of it is to be removed

    Examples:
      | state  | listed_s |
      | silent | 1        |
      | gone   | 200      |

  # Guards against an instance that stopped as planned and still counts.
  Scenario: The entry of a silent instance is removed
    Given an instance that lists 2 live instances and 1 that are gone
    When those that answer were asked until the others are silent
    And the store lists the live instances alone
    Then 3 instances may be running

  # Guards against a majority of entries that an outage of the list took away.
  Scenario: The entry of an instance that answers is missing
    Given an instance that lists 2 live instances and 0 that are gone
    When those that answer were asked until the others are silent
    And the store lists nobody
    Then 3 instances share a limit
    And 3 instances may be running
    And this instance knows that its own entry is missing

  # Guards against one lost datagram, or a busy instance, that counts as an end.
  Scenario: An instance answers each third question
    Given an instance that lists 2 live instances and 0 that are gone
    When those that answer miss 2 of 3 questions for 60 s
    Then 3 instances share a limit

  # Guards against instances that can't be asked, as an earlier release or a site without
  # ports lists them.
  Scenario: Instances without an endpoint count
    Given an instance that lists 2 live instances and 0 that are gone
    And 4 instances without an endpoint
    When those that answer were asked until the others are silent
    Then 7 instances share a limit
    And 7 instances may be running

  # Guards against an instance that counts itself twice, and against one that takes the entries
  # of all others for its own earlier ones.
  Scenario: This instance has no endpoint either
    Given an instance without an endpoint, which lists 3 such instances
    Then 3 instances share a limit
    And 3 instances may be running
    And no entry is to be removed
    And the earlier starts of this instance alone are known as superseded

  # Guards against a restart at the same address that counts twice, or whose new entry is
  # removed with the old one.
  Scenario: An instance was killed and started again at its address
    Given an instance that lists 2 live instances and 0 that are gone
    And 3 earlier starts at the address of each
    When those that answer were asked until the others are silent
    Then 3 instances share a limit
    And no entry is to be removed
    And the earlier starts of this instance are known as superseded

  # Guards against memory and work that grow with the replacements of a year.
  Scenario: More instances are listed than there is room for
    Given an instance that lists 2 live instances and 20000 that are gone
    When those that answer were asked once
    Then at most 4096 instances are known

  # Guards against messages to the instances of other data centres, where pages are shared.
  Scenario: The instances of a data centre share pages
    Given an instance that lists 2 live instances and 6 that are gone in two data centres
    When the neighbours were asked 3 times
    Then 2 instances get messages, and 5 are asked for help
    When the own data centre is listed without anybody
    Then 2 instances get messages, and 3 are asked for help
