Feature: What counts as evidence against a part of a prompt, and for how long

  Scenario: Three crashes of different processes block a part
    Given the reports of 3 crashes with the suspects "g"
    Then a request with "g,a" is blocked
    And a request with "a" is sent

  Scenario: Two crashes block nothing
    Given the reports of 2 crashes with the suspects "g"
    Then a request with "g" is sent

  # Guards against a report that counts once for each instance or copy of a message.
  Scenario: One crash that is reported often counts once
    Given the reports of 1 crash with the suspects "g" by 9 instances, each twice
    Then a request with "g" is sent

  # Guards against the loss of several connections at once, whose cause is the network.
  Scenario: Processes that end at the same instant count once
    Given the reports of 5 crashes within 0.05 s with the suspects "g"
    Then a request with "g" is sent

  Scenario: A response that ends well acquits its parts of the crashes known before
    Given the reports of 3 crashes with the suspects "g,s"
    When a response with "s" that began after them ends well
    Then a request with "s" is sent
    And a request with "g" is blocked

  # Guards against a part that turns bad: a response that began earlier proves nothing.
  Scenario: A response that began before the crashes acquits nothing
    Given the reports of 3 crashes with the suspects "g"
    When a response with "g" that began before them ends well
    Then a request with "g" is blocked

  # Guards against blocks of a sound part that has always come with the bad one so far.
  Scenario: Parts that explain the same three crashes are blocked together only
    Given the reports of 3 crashes with the suspects "g,s"
    Then a request with "g,s,x" is blocked
    And a request with "s,x" is sent

  Scenario: One more crash tells them apart
    Given the reports of 3 crashes with the suspects "g,s"
    And the report of another crash with the suspects "g,t"
    Then a request with "g,t" is blocked
    And a request with "s,t" is sent

  Scenario: A block ends with its evidence
    Given the reports of 3 crashes with the suspects "g"
    When 601 s pass
    Then a request with "g" is sent

  # Guards against acquittals that are kept, and decide, longer than their crashes.
  Scenario: An acquittal ends with its crash
    Given the reports of 3 crashes with the suspects "g,s"
    When a response with "s" that began after them ends well
    And 601 s pass
    Then the instance publishes 0 acquittals

  Scenario: An acquittal is logged with the crashes that it answers
    Given the reports of 3 crashes with the suspects "g,s"
    When a response with "s" that began after them ends well
    Then the log line "suspects-acquitted" names 3 processes

  Scenario: The end of a report is logged
    Given an instance that saw 2 crashes with 3 suspects each
    When 601 s pass
    Then the log line "crash-reports-expired" names 2 processes

  # Guards against a table that grows with the distinct parts that callers send.
  Scenario: What an instance publishes is bounded
    Given an instance that saw 200 crashes with 300 suspects each
    Then what it publishes fits into 32768 bytes and can be read

  Scenario Outline: Reports that can't be read are ignored
    Given the reports of 3 crashes with the suspects "g"
    When another instance publishes <content>
    Then a request with "g" is blocked

    Examples: content
      | content                         |
      | nothing                         |
      | no JSON                         |
      | a list                          |
      | more crashes than are allowed   |
      | suspects that are no texts      |

  # Guards against decisions that take a noticeable part of a request's time.
  Scenario: A decision takes microseconds
    Given an instance that saw 200 crashes with 300 suspects each
    Then deciding on a request takes less than 100 microseconds

  # Guards against blocks of a part for the sake of one request that comes again and again.
  Scenario: A repeated request is blamed before its parts
    Given the reports of 4 crashes with the suspects "r1,g"
    Then a request with "r1,g" is blocked
    And a request with "r2,g" is sent

  Scenario: A part whose requests differ is blamed before each of them
    Given the reports of 3 crashes with the suspects "r1,g"
    And the report of another crash with the suspects "r2,g"
    Then a request with "r3,g" is blocked
    And a request with "r1,h" is sent

  # Guards against blocks of a request that is repeated often and ends well.
  Scenario: A suspect that was acquitted once is blamed after one that never was
    Given the reports of 3 crashes with the suspects "r1,g"
    When a response with "r1" that began after them ends well
    And the reports of 3 more crashes with the suspects "r1,g" come
    Then a request with "r2,g" is blocked

  # Guards against blocks of a part that many sound requests contain, and that therefore
  # is in progress at the crashes of two bad contents.
  Scenario: A part that was sound shortly before isn't blamed for others' crashes
    Given 3 crashes are reported with the suspects "r1" and the trusted part "f"
    And 3 more crashes are reported with the suspects "g" and the trusted part "f"
    Then a request with "r1,f" is blocked
    And a request with "r2,g" is blocked
    And a request with "r2,f" is sent

  Scenario Outline: A part that was sound shortly before is blamed after five crashes
    Given <count> crashes of different requests are reported with the trusted part "f"
    Then a request with "r9,f" is <verdict>

    Examples: numbers of crashes
      | count | verdict |
      | 4     | sent    |
      | 5     | blocked |

  # Guards against a sound request that many callers send and that stays blocked, as all
  # upstreams crashed at the same moment while they ran it (TIER).
  Scenario Outline: A request was in progress at many upstreams that crashed at once
    Given an instance that saw a good response with "<sound>"
    When 9 processes end at once while they run "r1"
    Then a request with "r1" is <verdict>

    Examples:
      | sound | verdict |
      | r1    | sent    |
      | r2    | blocked |

  Scenario: A request that ended well before is blamed when it crashes one after the other
    Given an instance that saw a good response with "r1"
    When 5 processes end one after the other while they run "r1"
    Then a request with "r1" is blocked

  Scenario: An instance reports which suspects it trusts
    Given an instance that saw a good response with "f"
    When a process ends while it runs "r1,f,g"
    Then it publishes the trusted part "f" and the suspects "r1,g"

  Scenario: Trust ends
    Given an instance that saw a good response with "f"
    When 301 s pass
    And a process ends while it runs "r1,f,g"
    Then it publishes no trusted part and the suspects "r1,f,g"

  # Guards against blocks of a sound part whose requests crash upstreams at an instance
  # that has just started, while the others have served it all the time.
  Scenario: An instance vouches for a part that others accuse
    Given an instance that saw a good response with "f"
    When the reports of 4 more crashes with the suspects "g,f" come
    Then a request with "f,x" is sent
    And a request with "g,x" is blocked
    And it publishes the trusted part "f" and no suspects

  Scenario: An instance vouches for no part of which it knows nothing
    Given an instance that saw a good response with "e"
    When the reports of 4 more crashes with the suspects "g,f" come
    Then a request with "f,x" is blocked
    And it publishes nothing

  # Guards against blocks of a sound part that nothing can acquit, as no request with it
  # is sent any more.
  Scenario: A request that tells the suspects of the same crashes apart is sent
    Given an instance that saw no response yet
    When 4 processes end one after the other while they run "g,f"
    Then a request with "g,f" is blocked
    And a request with "f,x" is sent
    And a request with "f,y" is blocked
    When a response with "f" that began after them ends well
    Then a request with "f,y" is sent
    And a request with "g,x" is blocked

  Scenario: Only one such request is sent in 5 s
    Given an instance that saw no response yet
    When 4 processes end one after the other while they run "g,f"
    Then a request with "f,x" is sent
    And a request with "g,x" is blocked
    When 6 s pass
    Then a request with "g,x" is sent
    And a request with "f,x" is blocked

  Scenario: An instance that reported the crashes after two others sends no such request
    Given the reports of 4 crashes with the suspects "g,f" by 2 instances
    When 4 processes end one after the other while they run "g,f"
    Then a request with "f,x" is blocked
    And a request with "g,x" is blocked

  # Guards against a sound part that stays blocked because the instances that might let
  # a request through have ended.
  Scenario: The next instances send such requests when the first had time for it
    Given the reports of 4 crashes with the suspects "g,f" by 2 instances
    When 4 processes end one after the other while they run "g,f"
    Then a request with "f,x" is blocked
    When 20 s pass
    Then a request with "f,x" is sent
    And a request with "g,x" is blocked
    When 20 s pass
    Then a request with "f,x" is blocked
    When 20 s pass
    Then a request with "f,x" is sent

  # Guards against a sound part that stays blocked because it is accused of one crash
  # more than the bad part, which has another cause.
  Scenario: A sound part has the crashes of a bad one and one more
    Given an instance that saw no response yet
    When 4 processes end one after the other while they run "g,f"
    And 1 further process ends while it runs "f"
    Then a request with "g,f" is blocked
    And a request with "f,x" is sent
    When a response with "f" that began after them ends well
    Then a request with "f,y" is sent
    And a request with "g,x" is blocked

  Scenario: A part that crashes upstreams without the others is not sent again
    Given an instance that saw no response yet
    When 4 processes end one after the other while they run "g,f"
    And 1 further process ends while it runs "f"
    Then a request with "f,x" is sent
    When 1 further process ends while it runs "f"
    And 6 s pass
    Then a request with "f,y" is blocked

  # Guards against requests with a bad part that are sent because a few of its crashes
  # can be explained without it.
  Scenario: A part with two more crashes than the others is not sent
    Given an instance that saw no response yet
    When 4 processes end one after the other while they run "g,f"
    And 2 further processes end while they run "f"
    Then a request with "f,x" is blocked
