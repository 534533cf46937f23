Feature: A request that is cancelled closes no other connection

  # Guards against a descriptor that is closed twice: the second time it is that of another
  # connection, whose bytes then go elsewhere, or the event loop aborts the process (LOST).
  Scenario: Requests are cancelled while their connections are established
    Given an upstream that accepts connections
    When requests to it are cancelled in each of the first 20 turns of the event loop
    Then no descriptor that was opened afterwards is closed
