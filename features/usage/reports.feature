Feature: The program reports usage to the platform's API

  # Guards against requests that aren't counted, are counted twice, or at both instances.
  Scenario Outline: Each request that began is reported once
    Given a site of 2 programs <kind>, which report usage
    When callers send 20 plain requests and 10 streams, of which 3 are resumed, to both
    And callers send 5 requests that no upstream runs and 5 with a wrong key
    Then the reports of the windows add up to 27 requests of the team "agents"
    And each window was reported once, in time

    Examples:
      | kind                        |
      | that read for themselves    |
      | that share a reader         |

  # Guards against a repeat with other counts after an answer was lost.
  Scenario: A window whose answer was lost is reported again with the same counts
    Given a site of 2 programs that read for themselves, which report usage
    When the API answers nothing for 2.5 s while callers send requests
    Then a window was reported more than once
    And no window was reported with different counts

  # Guards against a successor that counts again what its predecessor has sent.
  Scenario: The next holder repeats the report of a holder that was killed
    Given a site of 2 programs that read for themselves, which report usage
    When the holder is killed while the API has its report but has not answered
    Then the other program reports that window with the same counts
    And no window was reported with different counts

  # Guards against messages of sites that don't report usage.
  Scenario: Without the API's address nothing is gathered
    Given a site of 2 programs that share a reader and report nothing
    When callers send 5 plain requests to both
    Then 3 s later no message with counts was sent
