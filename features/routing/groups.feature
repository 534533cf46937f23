Feature: Groups of upstreams

  Scenario: Upstreams that share a target are in one group
    Given upstreams
      | name | data_centre | models  |
      | e1   | dc1         | a,b     |
      | e2   | dc1         | b,c     |
      | e3   | dc1         | d       |
      | e4   | dc2         | a       |
    When the upstreams of "dc1" are grouped
    Then the groups are
      | group | targets | upstreams |
      | dc1/a | a,b,c   | e1,e2     |
      | dc1/d | d       | e3        |

  Scenario: The order of records doesn't change a group's name
    Given upstreams
      | name | data_centre | models  |
      | e2   | dc1         | c,b     |
      | e1   | dc1         | b,a     |
    When the upstreams of "dc1" are grouped
    Then the groups are
      | group | targets | upstreams |
      | dc1/a | a,b,c   | e1,e2     |

  Scenario: The tiers of a target are the tiers of the classes bound to it
    Given classes "urgent" of tier 0 and "bulk" of tier 3
    And "urgent" is bound to target "a" and "bulk" to all targets
    Then the tiers of target "a" are "0"
    And the tiers of every target are "3"
