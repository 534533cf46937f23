Feature: The limit on the silence of an upstream doesn't interrupt what its caller gets

  # Guards against a response whose head is sent twice: the silence ended the exchange while
  # the first head was being sent, and another upstream's followed (MIXED).
  Scenario: An upstream is heard at the moment at which its limit passes
    Given an exchange that is heard when its limit of 0.05 s passes
    When what was heard takes 0.02 s to be sent to the caller
    Then it was sent, and the exchange ended by itself

  Scenario: An upstream is not heard
    Given an exchange that is not heard
    When its limit of 0.05 s passes
    Then the exchange ended for the silence

  # Guards against requests and responses that stay in memory until a garbage collection.
  Scenario: An exchange has ended
    Given an exchange that holds an object and ends by itself
    When no garbage is collected
    Then the object is freed
