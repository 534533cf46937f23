Feature: How often a source is read from the store

  Scenario Outline: The wait for changes depends on the age limit of keys and the site's size
    Given revoked keys that may work for <max_age_s> s
    Then a site of <upstreams> upstreams waits <wait_s> s for changes

    Examples:
      | max_age_s | upstreams | wait_s |
      | 5         | 9         | 1.2    |
      | 5         | 49        | 2.25   |
      | 0         | 9         | 20     |

  Scenario: Changes in quick succession are read by few calls
    Given a source with 20 changes within 0.2 s
    When it is followed for 1 s with a delay of 0.4 s after changes
    Then at most 4 calls were made
    And all changes were applied

  Scenario Outline: A large site waits longer before it reads further changes of the list
    Then a site of <upstreams> upstreams delays the next call by <settle_s> s after changes of the list

    Examples:
      | upstreams | settle_s |
      | 9         | 0.4      |
      | 49        | 1.2      |

  Scenario: A source that fails is called less and less often
    Given a source that can't be read
    When it is followed for 3 s with pauses of at most 2 s
    Then at most 7 calls were made

  Scenario: A source that fails is called at once when another source has recovered
    Given a source that can't be read
    When it is followed for 3 s with pauses of at most 2 s
    And it can be read again and another source has recovered
    Then it is followed again within 0.2 s

  Scenario: A source whose history is lost at each call is not called without a pause
    Given a source whose history is lost at each call for changes
    When it is followed for 2 s with pauses of at most 2 s
    Then at most 14 calls were made
