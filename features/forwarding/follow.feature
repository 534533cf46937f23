Feature: How often the store is asked

  Scenario Outline: The wait follows the bound on keys and the site's size
    Given keys that may work for <max_age_s> s after they were taken away
    Then a site of <upstreams> upstreams waits <wait_s> s for changes

    Examples:
      | max_age_s | upstreams | wait_s |
      | 5         | 9         | 1.2    |
      | 5         | 49        | 2.25   |
      | 0         | 9         | 20     |

  Scenario: Changes that come together are fetched together
    Given a source with 20 changes within 0.2 s
    When it is followed for 1 s with 0.4 s for changes to come together
    Then at most 4 calls were made
    And all changes were taken in

  Scenario Outline: At a large site more changes of the list come together
    Then a site of <upstreams> upstreams lets changes come together for <settle_s> s

    Examples:
      | upstreams | settle_s |
      | 9         | 0.4      |
      | 49        | 1.2      |

  Scenario: A source that is lost is asked ever more seldom
    Given a source that can't be read
    When it is followed for 3 s with pauses of at most 2 s
    Then at most 7 calls were made

  Scenario: A source that is lost is asked at once when another is back
    Given a source that can't be read
    When it is followed for 3 s with pauses of at most 2 s
    And it can be read again and another source is back
    Then it is followed again within 0.2 s

  Scenario: A source whose history is lost each time is not asked without a pause
    Given a source whose history is lost at each call for changes
    When it is followed for 2 s with pauses of at most 2 s
    Then at most 14 calls were made
