Feature: A crowd of callers cuts no stream that is in progress

  # Guards against an account that ends sound streams, which hold nothing, before the
  # bodies that fill it.
  Scenario: A stream goes on while a crowd sends bodies without their end
    Given a site with 120 MB of memory, 400 descriptors, and bodies of at most 2 MiB
    And a caller that reads a stream of 1000 events
    When a crowd of 20 callers sends bodies that lack their last byte and stays
    Then the stream comes to its end
