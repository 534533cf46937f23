"""Functions that update the metrics; each call takes a few microseconds.

The first-token and between-token times are observed once for each request, not
for each chunk of a response.
"""

from collections.abc import Mapping

from jujubenotch.metrics.model import Metrics
from jujubenotch.outcomes import (
    ChangeRefusalReason,
    FailureReason,
    Outcome,
    RefusalReason,
    RetryBudgetEvent,
    RetryReason,
)


def count_outcome(metrics: Metrics, outcome: Outcome, service_class: str) -> None:
    """Count a request's outcome.

    :param metrics: The metrics.
    :param outcome: The outcome that was reported to the caller.
    :param service_class: The request's class; empty when none was found.
    """
    metrics.outcomes.inc({"outcome": outcome.value, "class": service_class})


def count_refusal(
    metrics: Metrics, reason: RefusalReason, tier: int | None = None
) -> None:
    """Count a request that was refused.

    :param metrics: The metrics.
    :param reason: Why the request was refused.
    :param tier: The request's tier; ``None`` when the request was refused before
        its tier was known.
    """
    label = "none" if tier is None else str(tier)
    metrics.refusals.inc({"reason": reason.value, "tier": label})


def count_retry(metrics: Metrics, reason: RetryReason) -> None:
    """Count a retry of a request.

    :param metrics: The metrics.
    :param reason: Why the request is sent again.
    """
    metrics.retries.inc({"reason": reason.value})


def count_retry_budget(metrics: Metrics, service: str, event: RetryBudgetEvent) -> None:
    """Count what adds to the retry budget of a service or spends it.

    :param metrics: The metrics.
    :param service: The service's name.
    :param event: The kind of event.
    """
    metrics.retry_budget.inc({"service": service, "event": event.value})


def count_failure(metrics: Metrics, reason: FailureReason) -> None:
    """Count a request that was sent but got no complete response.

    :param metrics: The metrics.
    :param reason: Why the request failed.
    """
    metrics.failures.inc({"reason": reason.value})


def count_configuration_rejection(
    metrics: Metrics, reason: ChangeRefusalReason
) -> None:
    """Count a change of the records that was rejected.

    :param metrics: The metrics.
    :param reason: Why the change was rejected.
    """
    metrics.configuration_rejections.inc({"reason": reason.value})


def count_authentication_failure(metrics: Metrics, listener: str) -> None:
    """Count a request or connection with a wrong or missing key or certificate.

    :param metrics: The metrics.
    :param listener: The listener's name: ``callers``, ``operators`` or ``peers``.
    """
    metrics.authentication_failures.inc({"listener": listener})


def count_refused_connection(metrics: Metrics, listener: str) -> None:
    """Count a connection that was closed because too many were open.

    :param metrics: The metrics.
    :param listener: The listener's name: ``callers``, ``operators`` or ``peers``.
    """
    metrics.refused_connections.inc({"listener": listener})


def observe_first_token(metrics: Metrics, service_class: str, delay_s: float) -> None:
    """Observe the time to a request's first token.

    :param metrics: The metrics.
    :param service_class: The request's class.
    :param delay_s: Time from the request's arrival to its first token, in seconds.
    """
    metrics.first_token.observe({"class": service_class}, delay_s)


def observe_between_tokens(metrics: Metrics, service_class: str, gap_s: float) -> None:
    """Observe the time between the tokens of a complete response.

    :param metrics: The metrics.
    :param service_class: The request's class.
    :param gap_s: Mean time between two successive tokens, in seconds.
    """
    metrics.between_tokens.observe({"class": service_class}, gap_s)


def set_queued(metrics: Metrics, tier: int, requests: int) -> None:
    """Set the number of requests of a tier that wait for a slot.

    :param metrics: The metrics.
    :param tier: The tier.
    :param requests: The number of waiting requests.
    """
    metrics.queued.set({"tier": str(tier)}, requests)


def set_slots_in_use(metrics: Metrics, upstream: str, slots: int) -> None:
    """Set the number of an upstream's slots in use, as its coordinator counts them.

    Only the coordinator sets this value.

    :param metrics: The metrics.
    :param upstream: The upstream's name.
    :param slots: The number of slots.
    """
    metrics.slots_in_use.set({"upstream": upstream}, slots)


def set_peers_connected(metrics: Metrics, peers: int) -> None:
    """Set the number of peers with a live session.

    :param metrics: The metrics.
    :param peers: The number of peers.
    """
    metrics.peers_connected.set({}, peers)


def set_revision(metrics: Metrics, revision: int) -> None:
    """Set the revision of the records in force.

    :param metrics: The metrics.
    :param revision: The revision.
    """
    metrics.revision.set({}, revision)


def set_requests_in_progress(metrics: Metrics, requests: int) -> None:
    """Set the number of requests in progress, from arrival to last byte.

    :param metrics: The metrics.
    :param requests: The number of requests.
    """
    metrics.requests_in_progress.set({}, requests)


def count_neighbour_message(metrics: Metrics, kind: str, result: str) -> None:
    """Count a message of the instances of a data centre to each other.

    :param metrics: The metrics.
    :param kind: What the message is about.
    :param result: ``sent``, ``received`` or ``missed``.
    """
    metrics.neighbour_messages.inc({"kind": str(kind), "result": result})


def count_usage_windows(metrics: Metrics, result: str, windows: int = 1) -> None:
    """Count windows of usage reports.

    :param metrics: The metrics.
    :param result: ``decided``, ``sent``, ``missed`` or ``too-large``.
    :param windows: The number of windows.
    """
    metrics.usage_windows.add({"result": result}, windows)


def set_lease(metrics: Metrics, token: int | None, age_s: float) -> None:
    """Set what this instance knows of the lease on calls to the platform's API.

    :param metrics: The metrics.
    :param token: The fencing token; ``None`` when this instance doesn't hold it.
    :param age_s: Time since it was last confirmed, in seconds.
    """
    metrics.lease_held.set({}, int(token is not None))
    metrics.lease_token.set({}, token or 0)
    metrics.lease_age.set({}, age_s)


def count_lease_end(metrics: Metrics, reason: str) -> None:
    """Count a tenure of the lease that ended.

    :param metrics: The metrics.
    :param reason: Why it ended.
    """
    metrics.lease_ends.inc({"reason": reason})


def count_cloud_call(metrics: Metrics, duty: str, result: str) -> None:
    """Count a call to the platform's API.

    :param metrics: The metrics.
    :param duty: The duty that made it.
    :param result: Its result.
    """
    metrics.cloud_calls.inc({"duty": str(duty), "result": str(result)})


def observe_upstreams(
    metrics: Metrics,
    service: str,
    data_centre: str,
    kind: str,
    *,
    ordered: int,
    listed: int,
) -> None:
    """Set how many upstreams are ordered and how many are ready.

    :param metrics: The metrics.
    :param service: The service's name.
    :param data_centre: The data centre's name.
    :param kind: The kind of the upstreams.
    :param ordered: The ordered number.
    :param listed: The number of ready ones.
    """
    labels = {"service": service, "data_centre": data_centre, "kind": str(kind)}
    metrics.upstreams_ordered.set(labels, ordered)
    metrics.upstreams_listed.set(labels, listed)


def set_learned_capacity(
    metrics: Metrics, figures: Mapping[str, tuple[float, float]]
) -> None:
    """Set what is learned about upstreams; others are no longer shown.

    :param metrics: The metrics.
    :param figures: The slowness, as a multiple of the service's median, and the limit
        of concurrent requests of each upstream, by name.
    """
    metrics.upstream_slowness.values.clear()
    metrics.upstream_limit.values.clear()
    for upstream, (slowness, limit) in figures.items():
        metrics.upstream_slowness.set({"upstream": upstream}, round(slowness, 3))
        metrics.upstream_limit.set({"upstream": upstream}, round(limit, 2))
