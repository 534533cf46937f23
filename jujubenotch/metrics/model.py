"""The metrics of one instance, in a separate registry."""

from dataclasses import dataclass

from aioprometheus import Counter, Gauge, Histogram, Registry

from jujubenotch.outcomes import ChangeRefusalReason, FailureReason, RetryReason

FIRST_TOKEN_BUCKETS_S = (
    0.05,
    0.1,
    0.2,
    0.4,
    0.6,
    0.8,
    1.0,
    1.2,
    1.6,
    2.4,
    5.0,
    10.0,
    30.0,
    60.0,
)
BETWEEN_TOKENS_BUCKETS_S = (
    0.004,
    0.008,
    0.012,
    0.016,
    0.02,
    0.024,
    0.028,
    0.032,
    0.04,
    0.064,
    0.128,
    0.256,
    1.0,
)


@dataclass(frozen=True, kw_only=True)
class Metrics:
    """The metrics of one instance.

    >>> metrics = make_metrics()
    >>> metrics.retries.get({"reason": "silent"})
    0
    """

    registry: Registry
    outcomes: Counter
    refusals: Counter
    retries: Counter
    retry_budget: Counter
    failures: Counter
    invariant_violations: Counter
    configuration_rejections: Counter
    authentication_failures: Counter
    refused_connections: Counter
    neighbour_messages: Counter
    usage_windows: Counter
    lease_ends: Counter
    cloud_calls: Counter
    first_token: Histogram
    between_tokens: Histogram
    queued: Gauge
    slots_in_use: Gauge
    peers_connected: Gauge
    revision: Gauge
    requests_in_progress: Gauge
    upstreams_ordered: Gauge
    upstreams_listed: Gauge
    lease_held: Gauge
    lease_token: Gauge
    lease_age: Gauge
    upstream_slowness: Gauge
    upstream_limit: Gauge


def make_metrics() -> Metrics:
    """Make the metrics; each reason of a retry, failure or rejection starts at 0.

    :returns: Metrics in a new registry.
    """
    registry = Registry()
    metrics = Metrics(
        registry=registry,
        **_make_counters(registry),
        **_make_histograms(registry),
        **_make_gauges(registry),
    )
    for reason in RetryReason:
        metrics.retries.set({"reason": reason.value}, 0)
    for reason in FailureReason:
        metrics.failures.set({"reason": reason.value}, 0)
    for reason in ChangeRefusalReason:
        metrics.configuration_rejections.set({"reason": reason.value}, 0)
    for gauge in (metrics.peers_connected, metrics.revision):
        gauge.set({}, 0)
    metrics.requests_in_progress.set({}, 0)
    return metrics


def _make_counters(registry):
    help_texts = {
        "outcomes": "Requests answered, by outcome and class",
        "refusals": "Requests refused, by reason and tier",
        "retries": "Requests sent once more, by reason",
        "retry_budget": "Requests and retries counted in the budget, by service",
        "failures": "Requests sent that have no whole answer, by reason",
        "invariant_violations": "Invariants found violated, by name",
        "configuration_rejections": "Changes of the records rejected, by reason",
        "authentication_failures": "Wrong or missing keys, by listener",
        "refused_connections": "Connections over a listener's bound, by listener",
        "neighbour_messages": "Messages of neighbour instances, by kind and result",
        "usage_windows": "Windows of usage decided, sent or missed here, by result",
        "lease_ends": "Tenures of the lease that ended, by reason",
        "cloud_calls": "Calls to the platform's API, by duty and result",
    }
    return {
        name: Counter(f"jujubenotch_{name}_total", help_text, registry=registry)
        for name, help_text in help_texts.items()
    }


def _make_histograms(registry):
    return {
        "first_token": Histogram(
            "jujubenotch_first_token_seconds",
            "From a request's arrival to its first token, by class",
            registry=registry,
            buckets=FIRST_TOKEN_BUCKETS_S,
        ),
        "between_tokens": Histogram(
            "jujubenotch_between_tokens_seconds",
            "Mean gap between the tokens of one answer, by class",
            registry=registry,
            buckets=BETWEEN_TOKENS_BUCKETS_S,
        ),
    }


def _make_gauges(registry):
    help_texts = {
        "queued": "Requests that wait for a slot, by tier",
        "slots_in_use": "Slots that this instance holds, by upstream",
        "peers_connected": "Peers with a live session",
        "revision": "Revision of the records in force",
        "requests_in_progress": "Requests between arrival and last byte",
        "upstreams_ordered": "Upstreams ordered, by service, data centre and kind",
        "upstreams_listed": "Ready upstreams, by service, data centre and kind",
        "lease_held": "Whether this instance holds the lease on the platform's API",
        "lease_token": "The fencing token of the lease that this instance holds",
        "lease_age": "Seconds since the lease was last confirmed; 0 without it",
        "upstream_slowness": "Learned slowness, 1 is the service's median, by upstream",
        "upstream_limit": "Learned limit of concurrent requests, by upstream",
    }
    return {
        name: Gauge(f"jujubenotch_{name}", help_text, registry=registry)
        for name, help_text in help_texts.items()
    }
