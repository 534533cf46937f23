Feature: Callers that read no response don't keep all places

  # Guards against connections without a time limit that take all places of a listener.
  Scenario: All places are taken by callers that read nothing
    Given a site with 120 MB of memory, 260 descriptors, and bodies of at most 2 MiB
    When 40 callers send 30 requests each ahead for answers of 200000 bytes, and read none
    Then an ordinary request is answered within 75 s, which is longer than all time limits

  # Guards against a memory of request ids that callers fill.
  Scenario: Requests with long ids on kept connections
    Given a site with 120 MB of memory, 400 descriptors, and bodies of at most 2 MiB
    When 20 callers send 900 requests each, one after the other, with ids of 7500 bytes
    Then the instance runs, and has needed at most 120 MB of memory

  # Guards against bodies that have arrived and wait for an upstream.
  Scenario: Whole bodies wait for an upstream that doesn't answer
    Given a site with 120 MB of memory, 400 descriptors, and bodies of at most 2 MiB
    When 60 callers send whole bodies of 2000000 bytes, and the upstream doesn't answer
    Then the instance runs, and has needed at most 120 MB of memory

  # Guards against places that requests without their end keep until their time limit.
  Scenario: All places are taken by small bodies that lack their last byte
    Given a site with 120 MB of memory, 260 descriptors, and bodies of at most 2 MiB
    When 40 callers send a head with 0 short headers, and 9 bytes of a body of 10
    Then an ordinary request is answered

  # Guards against the memory of heads, which is not on the account.
  Scenario: Heads of many short headers whose bodies lack their last byte
    Given a site with 300 MB of memory, 4100 descriptors, and bodies of at most 2 MiB
    When 600 callers send a head with 2200 short headers, and 9 bytes of a body of 10
    Then the instance runs, and has needed at most 300 MB of memory
