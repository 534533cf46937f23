Feature: The decision after an attempt without a complete response

  Scenario Outline: Only a request that may be repeated is sent again
    Given a request that is <kind>
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

  Scenario: Without retry budget, a request that was never sent ends as not run
    Given a request that is idempotent
    And no retry budget
    When an attempt ends as connect-failed
    Then the decision is give up as not-run for upstream-unreachable

  Scenario: A request with an earlier attempt that may have run does not end as not run
    Given a request that is idempotent
    And an earlier attempt that ended as lost
    And no retry budget
    When an attempt ends as connect-failed
    Then the decision is give up as unknown for retry-budget

  Scenario: A started stream that cannot be resumed ends as failed
    Given a request that is idempotent
    And a started stream
    When an attempt ends as truncated
    Then the decision is give up as failed for stream-truncated

  Scenario: A started stream that can be resumed is retried
    Given a request that is idempotent
    And a started stream that can be resumed
    When an attempt ends as truncated
    Then the decision is retry for stream-truncated

  Scenario: No attempt starts after the deadline
    Given a request that is idempotent
    And the deadline has passed
    When an attempt ends as lost
    Then the decision is give up as unknown for connection-lost
