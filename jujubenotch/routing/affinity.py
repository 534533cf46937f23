"""Which upstream holds a prompt's prefix in its cache, and whether that pays."""

from collections import OrderedDict
from dataclasses import dataclass, field

from jujubenotch.estimates import RunningMean, update_mean

MAX_PREFIXES = 4096
MIN_SAMPLES = 8
MIN_GAIN_RATIO = 0.05
LEARNING_WEIGHT = 0.05


@dataclass(kw_only=True, slots=True)
class PrefixAffinity:
    """Where prefixes went last, and the first tokens seen with and without them.

    :param upstreams: The upstream of each recent prefix, least recent first.
    :param hit_s: Mean time to the first token where the prefix went last.
    :param miss_s: Mean time to the first token elsewhere.

    >>> affinity = PrefixAffinity()
    >>> remember_prefix(affinity, "a prompt", "engine-1")
    >>> find_affine(affinity, "a prompt")
    'engine-1'
    """

    upstreams: OrderedDict[str, str] = field(default_factory=OrderedDict)
    hit_s: RunningMean = field(
        default_factory=lambda: RunningMean(weight=LEARNING_WEIGHT)
    )
    miss_s: RunningMean = field(
        default_factory=lambda: RunningMean(weight=LEARNING_WEIGHT)
    )


def find_affine(affinity: PrefixAffinity, prefix_key: str) -> str:
    """Find the upstream that had a prefix last.

    :param affinity: Where prefixes went.
    :param prefix_key: The prefix; empty when unknown.
    :returns: The upstream's name; empty when unknown.
    """
    return affinity.upstreams.get(prefix_key, "") if prefix_key else ""


def remember_prefix(affinity: PrefixAffinity, prefix_key: str, upstream: str) -> None:
    """Note where a prefix goes.

    :param affinity: Where prefixes went; changed in place.
    :param prefix_key: The prefix; an empty one is ignored.
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
    """Learn what a repeated prefix is worth.

    :param affinity: What was learned; changed in place.
    :param first_token_s: From the send to the first token, in seconds.
    :param is_hit: Whether the request went where its prefix had gone last.
    """
    update_mean(affinity.hit_s if is_hit else affinity.miss_s, first_token_s)


def read_gain_s(affinity: PrefixAffinity) -> float | None:
    """Tell how much sooner the first token comes where the prefix was.

    :param affinity: What was learned.
    :returns: Seconds, 0 when it doesn't pay; ``None`` when not known yet.
    """
    hit_s = affinity.hit_s
    miss_s = affinity.miss_s
    if min(hit_s.samples, miss_s.samples) < MIN_SAMPLES:
        return None
    gain_s = miss_s.value - hit_s.value
    return gain_s if gain_s > MIN_GAIN_RATIO * miss_s.value else 0.0
