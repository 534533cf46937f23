Feature: Requests and responses in progress share a bound on the memory that they take

  # Guards against a sound request that is ended in place of one that moves little, and
  # against a request that is ended although it is being worked on.
  Scenario Outline: A further request comes to hold 20 bytes
    Given 100 bytes that may be held together
    And a use of 50 bytes that <first>
    And a use of 40 bytes that <second>
    When a new use comes to hold 20 bytes
    Then the uses that were ended are <ended>

    Examples:
      | first                | second               | ended           |
      | has lasted for 9 s   | has lasted for 1 s   | the first       |
      | has lasted for 1 s   | has lasted for 9 s   | the second      |
      | is worked on         | has lasted for 1 s   | the second      |
      | is worked on         | is worked on         | the new one     |
      | has lasted for 9 s   | has no bound         | the second      |

  # Guards against streams that are cut, although they hold next to nothing, because
  # other requests have large bodies.
  Scenario: Requests that are worked on hold all
    Given 1000000 bytes that may be held together
    And a use of 999950 bytes that is worked on
    And a use of 20 bytes that has no bound
    When a new use comes to hold 5000 bytes
    Then the uses that were ended are the new one
