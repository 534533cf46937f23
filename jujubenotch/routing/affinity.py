"""Prefix affinity: which upstream has a prefix in its cache, and the time saved."""

from collections import OrderedDict
from dataclasses import dataclass, field

from jujubenotch.estimates import RunningMean, update_mean

MAX_PREFIXES = 4096
MIN_SAMPLES = 8
MIN_GAIN_RATIO = 0.05
LEARNING_WEIGHT = 0.05


@dataclass(kw_only=True, slots=True)
class PrefixAffinity:
    """The last upstream of recent prefixes, and the latency with and without a hit.

    :param upstreams: The last upstream by prefix, least recently used first.
    :param hit_s: Mean time to the first token, in seconds, of requests that went
        to the last upstream of their prefix.
    :param miss_s: Mean time to the first token, in seconds, of requests that went
        to another upstream.

    >>> affinity = PrefixAffinity()
    >>> record_prefix(affinity, "a prompt", "engine-1")
    >>> find_prefix_upstream(affinity, "a prompt")
    'engine-1'
    """

    upstreams: OrderedDict[str, str] = field(default_factory=OrderedDict)
    hit_s: RunningMean = field(
        default_factory=lambda: RunningMean(weight=LEARNING_WEIGHT)
    )
    miss_s: RunningMean = field(
        default_factory=lambda: RunningMean(weight=LEARNING_WEIGHT)
    )


def find_prefix_upstream(affinity: PrefixAffinity, prefix_key: str) -> str:
    """Find the upstream that a prefix was last sent to.

    :param affinity: The upstreams of recent prefixes.
    :param prefix_key: The key of the prefix; empty when unknown.
    :returns: The upstream's name; empty when unknown.
    """
    return affinity.upstreams.get(prefix_key, "") if prefix_key else ""


def record_prefix(affinity: PrefixAffinity, prefix_key: str, upstream: str) -> None:
    """Record the upstream that a prefix is sent to.

    :param affinity: The upstreams of recent prefixes; changed in place.
    :param prefix_key: The key of the prefix; an empty one is ignored.
    :param upstream: The upstream's name.
    """
    if not prefix_key:
        return
    affinity.upstreams[prefix_key] = upstream
    affinity.upstreams.move_to_end(prefix_key)
    if len(affinity.upstreams) > MAX_PREFIXES:
        affinity.upstreams.popitem(last=False)


def record_first_token(
    affinity: PrefixAffinity, first_token_s: float, *, is_hit: bool
) -> None:
    """Record the time to the first token of a request with a known prefix.

    :param affinity: The measured latencies; changed in place.
    :param first_token_s: The time from the send to the first token, in seconds.
    :param is_hit: Whether the request went to the last upstream of its prefix.
    """
    update_mean(affinity.hit_s if is_hit else affinity.miss_s, first_token_s)


def estimate_gain_s(affinity: PrefixAffinity) -> float | None:
    """Return how much sooner the first token comes from the prefix's upstream.

    :param affinity: The measured latencies.
    :returns: The time saved in seconds, 0 when it is too small to matter; ``None``
        when there are too few samples.
    """
    hit_s = affinity.hit_s
    miss_s = affinity.miss_s
    if min(hit_s.samples, miss_s.samples) < MIN_SAMPLES:
        return None
    gain_s = miss_s.value - hit_s.value
    return gain_s if gain_s > MIN_GAIN_RATIO * miss_s.value else 0.0
