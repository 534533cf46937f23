Feature: Nothing malformed ends the program

  # Guards against a document of the store that a decoder or its user can't cope with: the task
  # that follows the source would end, and the program with it.
  Scenario: Drawn documents of the store are used or rejected
    Then each drawn configuration is rejected, or callers' requests are admitted or refused by it
    And each drawn upstream is rejected, or requests are sent to it or refused
    And each drawn list of crash reports is rejected or taken up

  # Guards against a response of the store that raises another error than that of its layer.
  Scenario: Drawn responses of the store are read or told as errors of the source
    Then each call to the store that gets a drawn response raises nothing but source errors
    And each page of a drawn response is applied, and sent to neighbours or not

  # Guards against the head of a request or of a response that ends more than its request.
  Scenario: Drawn heads are decoded
    Then each drawn head of a request is admitted or refused
    And each drawn head of a response is read

  # Guards against an address in the store that no datagram can be sent to.
  Scenario Outline: Addresses that are none are left out
    Given a site without a program
    When the store lists an instance at "<address>"
    Then no instance is listed at it

    Examples:
      | address          |
      | nowhere          |
      | nowhere:7340     |
      | 10.0.0.1:99999   |
      | 10.0.0.1:٣       |
      | 10.0.0.1:        |
      | 10.0.0.256:7340  |

  # Guards against a store that answers each call for the rest with the same page.
  Scenario: A list that never ends is told as an error of the source
    Then reading a table or names whose every page tells of more ends with a source error

  # Guards against the end of the process itself, whatever decodes the response.
  Scenario Outline: The program goes on after malformed responses of the store
    Given a site whose upstream answers correctly
    When the store answers the next 6 calls for rows with <what>
    And 3 s pass
    Then the program is running
    And once it is ready again a caller gets "done"

    Examples:
      | what                              |
      | a value that is not ASCII         |
      | revisions that are too large      |
      | a list in place of an object      |
      | no JSON                           |
