Feature: Versions of services and origins of streams are kept as objects of the store

  # Guards against names that lose a part of what they hold, whatever the service is called.
  Scenario: Records and batches that are written are read again
    Given a site without a program
    When drawn records and batches are written
    Then the same records and batches are read
    When all of them are removed
    Then no record and no batch is read

  # Guards against one malformed object, or a malformed response, that ends a task.
  Scenario: Objects that can't be decoded are left out or told as errors of the source
    Given a site without a program
    When objects with drawn names and contents are in the store
    Then reading them raises nothing but source errors

  # Guards against taking a service whose upstreams were replaced for a new one.
  Scenario Outline: Whether an upstream has left the list since the store began
    Given a site without a program
    When the list has had <what>
    Then an upstream has left: <has_left>

    Examples:
      | what                              | has_left |
      | two upstreams                     | no       |
      | two upstreams, of which one left  | yes      |
      | no upstream                       | yes      |
      | two upstreams and a lost history  | yes      |
