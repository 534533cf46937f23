Feature: Copies of responses do no harm, whatever their framing and segments

  # Guards against requests that are lost because of a copy before their response.
  Scenario Outline: A copy of an earlier response comes before the own one
    When a request is sent after <first>, and the upstream sends <what>
    Then it has its own response

    Examples:
      | first | what                                                     |
      | GET   | a copy of a 204 before the own response                  |
      | HEAD  | a copy of the response to HEAD before the own response   |
      | GET   | a part of the copy with the first response, then the rest |

  # Guards against a time limit of an exchange that is over.
  Scenario: A skipped copy leaves no time limit behind
    When a body is sent slowly after a copy came together with a response
    Then it has its own response
