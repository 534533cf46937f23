Feature: Callers outside the limits neither end nor block an instance

  # Guards against a process that is ended for its memory or hangs, because of what callers
  # send that don't keep the limits, and against refusals of requests that run.
  Scenario Outline: A crowd of callers
    Given a site with 120 MB of memory, 400 descriptors, and bodies of at most 2 MiB
    When a crowd of <count> callers sends <what> and stays
    Then the instance runs, and has needed at most 120 MB of memory
    And it has at most 200 descriptors open
    And an ordinary request is answered
    When the crowd leaves
    Then an ordinary request is answered
    And the instance runs, and has needed at most 120 MB of memory
    And no request that was told as not run has run

    Examples: crowd
      | count | what                                                |
      | 60    | bodies in large chunks, without their end           |
      | 60    | bodies of one byte a chunk, without their end       |
      | 60    | bodies of 16 bytes a chunk, without their end       |
      | 1     | bodies of one byte a chunk, without their end       |
      | 60    | chunks far over the limit                           |
      | 60    | a length far over the limit                         |
      | 60    | bodies that lack their last byte                    |
      | 60    | bodies that lack their end, and a byte now and then |
      | 60    | bodies with an unknown key                          |
      | 60    | requests for large answers, and reads none          |
      | 20    | requests ahead, and reads no answer                 |
      | 60    | heads without their end                             |
      | 300   | nothing                                             |

  # Guards against a stop that waits for requests which never become whole.
  Scenario Outline: An instance is stopped amid a crowd
    Given a site with 120 MB of memory, 400 descriptors, and bodies of at most 2 MiB
    When a crowd of <count> callers sends <what> and stays
    And the instance is told to stop
    Then its process ends by itself

    Examples: crowd
      | count | what                                          |
      | 20    | bodies of one byte a chunk, without their end |
      | 20    | bodies that lack their last byte              |
      | 20    | requests for large answers, and reads none    |

  # Guards against limits that a single request inside those of the configuration meets.
  Scenario Outline: A single request inside the limits is served in calm
    Given a site with 120 MB of memory, 400 descriptors, and bodies of at most 2 MiB
    When a caller sends one body of <size> bytes <how>
    Then it is answered with 200

    Examples: body
      | size    | how                |
      | 2097152 | with its length    |
      | 2097152 | in chunks of 65536 |
      | 1000000 | in chunks of 16    |
      | 300000  | in chunks of 1     |
      | 10      | in chunks of 10    |
      | 10      | in chunks of 1     |
