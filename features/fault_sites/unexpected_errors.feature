Feature: An unexpected error never makes a truncated response look whole

  # Guards against streams that end as complete although an error in the router stopped
  # them. The error is raised at one step of forwarding, at each of its first calls.
  Scenario Outline: An error in the middle of a stream
    Given a site whose upstream streams 3 events
    And the router raises an error at call <call> of <step>
    When a caller requests a stream
    Then the response is an error, or is cut after some of the 3 events
    And the next stream is whole

    Examples: the steps of forwarding
      | step                                          | call |
      | jujubenotch.dispatch.receive.take_complete_events | 1 |
      | jujubenotch.dispatch.receive.take_complete_events | 2 |
      | jujubenotch.dispatch.receive.take_complete_events | 3 |
      | jujubenotch.dispatch.receive.read_last_id         | 1 |
      | jujubenotch.dispatch.receive.check_not_truncated  | 1 |
      | jujubenotch.dispatch.slot_attempt.report_attempt  | 1 |
      | jujubenotch.dispatch.dispatcher.report_attempt    | 1 |
      | jujubenotch.forwarding.capacity.spare_after       | 1 |
      | jujubenotch.forwarding.capacity.record_result     | 1 |

  # Guards against the same when the choice of another upstream fails for a stream that
  # broke off and may be resumed.
  Scenario Outline: An error while a broken stream is to be resumed
    Given a site whose upstream cuts its stream after 2 events
    And the router raises an error at call <call> of <step>
    When a caller requests a resumable stream
    Then the response is an error, or is cut after some of the 3 events

    Examples: the steps of a resumption
      | step                                               | call |
      | jujubenotch.dispatch.follow_attempt.decide_next    | 1 |
      | jujubenotch.dispatch.follow_attempt.digest_request | 1 |
      | jujubenotch.dispatch.dispatcher.make_work_request  | 2 |
      | jujubenotch.forwarding.capacity.find_availability  | 2 |
