Feature: Upstreams that leave the list and come back are chosen without an error

  # Guards against an error in each choice for a service: an upstream whose speed class had
  # changed left the list and came back, and its name was kept in a second table.
  Scenario: An upstream comes back whose speed class had changed before it left
    Given an instance before 5 upstreams, one of which is found slow
    When the slow upstream leaves the list and comes back before the next request
    Then 20 requests are granted

  # Guards against the same in other orders: several upstreams leave in one update or leave
  # and come back in one, and a service loses all of its upstreams.
  Scenario Outline: Upstreams leave the list and come back at any moment
    Given <instances> instances before <upstreams> upstreams, seed <seed>
    When 150 requests a second arrive for 10 s while upstreams leave and come back
    Then each request was granted while an upstream of its service was listed

    Examples:
      | instances | upstreams | seed |
      | 1         | 3         | 1    |
      | 3         | 5         | 2    |
      | 3         | 5         | 3    |
      | 7         | 12        | 4    |
      | 7         | 12        | 5    |
