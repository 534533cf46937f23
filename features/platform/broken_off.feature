Feature: A response that breaks off is logged with what its prompt shares with others

  # Guards against logs that can't tell which prompts were in progress when an upstream
  # ended, and against prompts' contents in logs.
  Scenario: The log has digests of the shared parts
    Given a site whose upstream cuts its stream after 2 events
    When a caller requests a stream with the prompt parts "aa11,bb22,cc33"
    Then the program logged "response-broken-off" with the digests of "aa11,bb22"
    And the log contains none of the parts "aa11,bb22,cc33"

  # Guards against logs that can't tell whether a request is the repeat of another one.
  Scenario: Repeats of a request have one digest
    Given a site whose upstream cuts its answer
    When a caller sends the bodies "a,a,b" in turn
    Then the digests of the requests in the "response-broken-off" lines are "1,1,2"

  Scenario: The log tells whether the response had begun
    Given a site whose upstream cuts its stream after 2 events
    When a caller requests a stream with the prompt parts "aa11,bb22,cc33"
    Then the program logged "response-broken-off" with the time since the response began
