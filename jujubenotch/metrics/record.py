"""Commands that change the metrics; each costs a few microseconds.

The first-token and between-token times are observed once for each request,
never for each chunk.
"""

from jujubenotch.metrics.model import Metrics
from jujubenotch.outcomes import (
    ChangeRefusalReason,
    FailureReason,
    Outcome,
    RefusalReason,
    RetryReason,
)


def count_outcome(metrics: Metrics, outcome: Outcome, service_class: str) -> None:
    """Count a request's outcome.

    :param metrics: The metrics.
    :param outcome: What the caller was told.
    :param service_class: Its class; empty when none was found.
    """
    metrics.outcomes.inc({"outcome": outcome.value, "class": service_class})


def count_refusal(
    metrics: Metrics, reason: RefusalReason, tier: int | None = None
) -> None:
    """Count a refusal.

    :param metrics: The metrics.
    :param reason: Why it was refused.
    :param tier: Its tier; ``None`` when refused before the tier was known.
    """
    label = "none" if tier is None else str(tier)
    metrics.refusals.inc({"reason": reason.value, "tier": label})


def count_retry(metrics: Metrics, reason: RetryReason) -> None:
    """Count one more send of a request.

    :param metrics: The metrics.
    :param reason: Why it is sent again.
    """
    metrics.retries.inc({"reason": reason.value})


def count_failure(metrics: Metrics, reason: FailureReason) -> None:
    """Count a request that was sent and has no whole answer.

    :param metrics: The metrics.
    :param reason: Why.
    """
    metrics.failures.inc({"reason": reason.value})


def count_configuration_rejection(
    metrics: Metrics, reason: ChangeRefusalReason
) -> None:
    """Count a change of the records that was rejected.

    :param metrics: The metrics.
    :param reason: Why.
    """
    metrics.configuration_rejections.inc({"reason": reason.value})


def count_authentication_failure(metrics: Metrics, listener: str) -> None:
    """Count a wrong or missing key or certificate.

    :param metrics: The metrics.
    :param listener: ``callers``, ``operators`` or ``peers``.
    """
    metrics.authentication_failures.inc({"listener": listener})


def count_refused_connection(metrics: Metrics, listener: str) -> None:
    """Count a connection that was closed since too many were open.

    :param metrics: The metrics.
    :param listener: ``callers``, ``operators`` or ``peers``.
    """
    metrics.refused_connections.inc({"listener": listener})


def observe_first_token(metrics: Metrics, service_class: str, delay_s: float) -> None:
    """Observe a request's first token.

    :param metrics: The metrics.
    :param service_class: The request's class.
    :param delay_s: From its arrival to its first token, in seconds.
    """
    metrics.first_token.observe({"class": service_class}, delay_s)


def observe_between_tokens(metrics: Metrics, service_class: str, gap_s: float) -> None:
    """Observe the pace of a whole answer.

    :param metrics: The metrics.
    :param service_class: The request's class.
    :param gap_s: Mean gap between its tokens, in seconds.
    """
    metrics.between_tokens.observe({"class": service_class}, gap_s)


def set_queued(metrics: Metrics, tier: int, requests: int) -> None:
    """Set how many requests of a tier wait for a slot.

    :param metrics: The metrics.
    :param tier: The tier.
    :param requests: Their number.
    """
    metrics.queued.set({"tier": str(tier)}, requests)


def set_slots_in_use(metrics: Metrics, upstream: str, slots: int) -> None:
    """Set how many slots of an upstream this instance holds.

    :param metrics: The metrics.
    :param upstream: The upstream's name.
    :param slots: Their number.
    """
    metrics.slots_in_use.set({"upstream": upstream}, slots)


def set_peers_connected(metrics: Metrics, peers: int) -> None:
    """Set how many peers have a live session.

    :param metrics: The metrics.
    :param peers: Their number.
    """
    metrics.peers_connected.set({}, peers)


def set_revision(metrics: Metrics, revision: int) -> None:
    """Set the revision of the records in force.

    :param metrics: The metrics.
    :param revision: The global revision.
    """
    metrics.revision.set({}, revision)


def set_requests_in_progress(metrics: Metrics, requests: int) -> None:
    """Set how many requests are between arrival and last byte.

    :param metrics: The metrics.
    :param requests: Their number.
    """
    metrics.requests_in_progress.set({}, requests)
