Feature: What follows an attempt without a whole answer

  Scenario Outline: Only what may be repeated is sent again
    Given <kind> work
    When an attempt ends as <end>
    Then the decision is <decision>

    Examples:
      | kind           | end            | decision                                  |
      | idempotent     | connect-failed | retry for connect-failed                  |
      | idempotent     | refused        | retry for upstream-refused                |
      | idempotent     | upstream-error | retry for upstream-error                  |
      | idempotent     | lost           | retry for connection-lost                 |
      | idempotent     | silent         | retry for silent                          |
      | idempotent     | deadline       | give up as unknown for deadline-passed    |
      | non-idempotent | connect-failed | retry for connect-failed                  |
      | non-idempotent | refused        | retry for upstream-refused                |
      | non-idempotent | upstream-error | give up as failed for upstream-error      |
      | non-idempotent | lost           | give up as unknown for connection-lost    |
      | non-idempotent | silent         | give up as unknown for silent             |
      | non-idempotent | deadline       | give up as unknown for deadline-passed    |

  Scenario: A retry beyond the budget is not made, and nothing sent is told as not run
    Given idempotent work
    And no retry budget
    When an attempt ends as connect-failed
    Then the decision is give up as not-run for upstream-unreachable

  Scenario: An earlier attempt that may have run forbids to say not run
    Given idempotent work
    And an attempt that ended as lost
    And no retry budget
    When an attempt ends as connect-failed
    Then the decision is give up as unknown for retry-budget

  Scenario: A started stream goes on only where it can be resumed
    Given idempotent work
    And a started stream
    When an attempt ends as truncated
    Then the decision is give up as failed for stream-truncated

  Scenario: A started stream that can be resumed goes on
    Given idempotent work
    And a started stream that can be resumed
    When an attempt ends as truncated
    Then the decision is retry for stream-truncated

  Scenario: No attempt starts after the deadline
    Given idempotent work
    And the deadline has passed
    When an attempt ends as lost
    Then the decision is give up as unknown for connection-lost
