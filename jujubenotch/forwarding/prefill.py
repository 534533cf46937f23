"""Limits the long prompts of this instance that wait for their first token.

Engines admit a long prompt at once and read it beside the others, so their slots
don't tell how long its caller waits. By Little's law the wait is the number of
waiting prompts divided by the rate of first tokens. The limit is the number for
which that wait is a share of the target, and it is in force only while first tokens
are late: prompts above it would be late and make the others late as well, so they
are refused at once. It grows while first tokens are in time again. Engines read the
more urgent prompts first, so only those at least as urgent count against a prompt.
"""

from dataclasses import dataclass, field

from jujubenotch.estimates import (
    DecayingRate,
    RunningMean,
    count_event,
    read_rate,
    update_mean,
)

MIN_LIMIT = 1.0
# The mean time to the first token, as a share of the target, above which the limit
# is set anew.
LATE_SHARE = 0.8
# The wait that the limit aims at, as a share of the target.
AIMED_SHARE = 0.6
MEAN_WEIGHT = 0.3
MIN_SAMPLES = 3
# Few prompts are spared, so they come unevenly; the others make room for them.
SPARED_LIMIT_FACTOR = 2.0
RATE_WINDOW_S = 1.0


@dataclass(kw_only=True, slots=True)
class PrefillLimit:
    """The limit of one service.

    :param waiting: The number of long prompts of this instance without a first token,
        by tier.
    :param limit: The largest number of them; ``None`` before first tokens were late.
    :param mean: The mean time to the first token since the limit was last set, as a
        share of the target.
    :param rate: The rate of first tokens.
    :param set_s: When the limit was last set, monotonic, in seconds.

    >>> is_prefill_full(PrefillLimit(waiting={0: 100}), tier=0)
    False
    """

    waiting: dict[int, int] = field(default_factory=dict)
    limit: float | None = None
    mean: RunningMean = field(default_factory=lambda: RunningMean(weight=MEAN_WEIGHT))
    rate: DecayingRate = field(
        default_factory=lambda: DecayingRate(window_s=RATE_WINDOW_S)
    )
    set_s: float = float("-inf")


def is_prefill_full(
    prefill: PrefillLimit, tier: int, *, is_spared: bool = False
) -> bool:
    """Return whether a further long prompt has to be refused.

    :param prefill: The limit of its service.
    :param tier: The prompt's tier; 0 is the most urgent.
    :param is_spared: Whether most of the other prompts are less urgent.
    """
    if prefill.limit is None:
        return False
    factor = SPARED_LIMIT_FACTOR if is_spared else 1.0
    return count_ahead(prefill, tier) >= factor * prefill.limit


def count_ahead(prefill: PrefillLimit, tier: int) -> int:
    """Count the waiting long prompts that are at least as urgent as a tier.

    :param prefill: The limit of the service.
    :param tier: The tier.
    """
    return sum(count for other, count in prefill.waiting.items() if other <= tier)


def start_prefill(prefill: PrefillLimit, tier: int) -> None:
    """Record that a long prompt was sent.

    :param prefill: The limit of its service; changed in place.
    :param tier: The prompt's tier.
    """
    prefill.waiting[tier] = prefill.waiting.get(tier, 0) + 1


def abandon_prefill(prefill: PrefillLimit, tier: int) -> None:
    """Record that a long prompt ended without a first token.

    The reason may be a failed upstream, so the limit stays.

    :param prefill: The limit of its service; changed in place.
    :param tier: The prompt's tier.
    """
    prefill.waiting[tier] -= 1


def finish_prefill(
    prefill: PrefillLimit,
    tier: int,
    *,
    sent_s: float,
    target_s: float,
    now_s: float,
) -> None:
    """Record the first token of a long prompt, and adjust the limit.

    :param prefill: The limit of its service; changed in place.
    :param tier: The prompt's tier.
    :param sent_s: When the prompt was sent, monotonic, in seconds.
    :param target_s: The target for the time to the first token, in seconds; 0 when
        the request has none.
    :param now_s: The present monotonic time, in seconds.
    """
    prefill.waiting[tier] -= 1
    count_event(prefill.rate, now_s)
    # The prompt was sent before the limit was last set, so its wait is no evidence of
    # whether the present limit is right.
    if target_s <= 0 or sent_s < prefill.set_s:
        return
    update_mean(prefill.mean, (now_s - sent_s) / target_s)
    if prefill.mean.value > LATE_SHARE and prefill.mean.samples >= MIN_SAMPLES:
        _set_limit(prefill, target_s, now_s)
    elif prefill.limit is not None:
        prefill.limit += 1 / prefill.limit


def _set_limit(prefill, target_s, now_s):
    limit = AIMED_SHARE * target_s * read_rate(prefill.rate, now_s)
    if prefill.limit is not None:
        limit = min(limit, prefill.limit)
    prefill.limit = max(MIN_LIMIT, limit)
    prefill.mean = RunningMean(weight=MEAN_WEIGHT)
    prefill.set_s = now_s
