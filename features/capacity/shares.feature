Feature: The share of a group's slots that a coordinator grants

  Scenario Outline: The share depends on the known, live and attached instances
    Then with "<known>" known, "<live>" live and "<attached>" attached, a coordinator that is <age_s> s old grants <share>
    Examples:
      | known   | live    | attached | age_s | share |
      | a b c d | a b c d | a        | 0.5   | 0.25  |
      | a b c d | a b c d | a b c    | 0.5   | 0.25  |
      | a b c d | a b c d | a b c d  | 0.1   | 1.0   |
      | a b c d | a b c d | a b      | 1.0   | 0.5   |
      | a b c   | b c     | c        | 9.0   | 0.333 |
      | a b c d | a b c   | a b c    | 0.1   | 0.75  |
      | a b c d | a b c   | a b      | 0.1   | 0.25  |
      | a b c d | a       | a        | 9.0   | 0.25  |
      | a       | a       | a        | 0.0   | 1.0   |
