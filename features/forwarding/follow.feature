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
