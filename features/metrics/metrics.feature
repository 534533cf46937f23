Feature: Metrics

  Background:
    Given the metrics of one instance

  Scenario: The counters of all retry and failure reasons exist from the start
    When the metrics are rendered
    Then the counter of each retry reason and failure reason is 0

  Scenario Outline: Each event is recorded under its own labels
    When the metrics record <what>
    And the metrics are rendered
    Then the rendered text contains the line "<line>"

    Examples:
      | what | line |
      | an outcome | jujubenotch_outcomes_total{class="gate",outcome="completed"} 1 |
      | a refusal | jujubenotch_refusals_total{reason="queue-full",tier="3"} 1 |
      | an early refusal | jujubenotch_refusals_total{reason="authentication",tier="none"} 1 |
      | a retry | jujubenotch_retries_total{reason="silent"} 1 |
      | a failure | jujubenotch_failures_total{reason="stream-truncated"} 1 |
      | a rejected change | jujubenotch_configuration_rejections_total{reason="conflict"} 1 |
      | a wrong key | jujubenotch_authentication_failures_total{listener="operators"} 1 |
      | a violation | jujubenotch_invariant_violations_total{name="metrics-feature"} 1 |
      | a first token | jujubenotch_first_token_seconds_bucket{class="gate",le="1.2"} 1.0 |
      | a pace | jujubenotch_between_tokens_seconds_bucket{class="gate",le="0.032"} 1.0 |
      | a gauge of each | jujubenotch_queued{tier="2"} 7 |
      | a gauge of each | jujubenotch_slots_in_use{upstream="engine-1"} 5 |
      | a gauge of each | jujubenotch_peers_connected 6 |
      | a gauge of each | jujubenotch_revision 41 |
      | a gauge of each | jujubenotch_requests_in_progress 9 |
      | a gauge of each | jujubenotch_lease_held 1 |
      | a gauge of each | jujubenotch_lease_token 17 |
      | a gauge of each | jujubenotch_lease_age 0.5 |
      | a lease that ended | jujubenotch_lease_ends_total{reason="lost"} 1 |
      | a call to the API | jujubenotch_cloud_calls_total{duty="autoscaling",result="done"} 1 |

  Scenario: Two instances in one process don't share metrics
    Given the metrics of another instance
    When the metrics record an outcome
    Then the outcomes of the other instance are still 0

  Scenario: A scraper gets the format that it accepts
    When the metrics are rendered for the Accept header "text/plain; version=0.0.4"
    Then the content type is "text/plain; version=0.0.4; charset=utf-8"
