"""What requests usually take on a service's upstreams, by size and load.

A time to the first token is a fixed part and a part for each token to read, times a
factor for the load; a pause between events depends on the route and the load. Each
upstream's time is divided by these, so that its slowness doesn't depend on what it was
sent.
"""

import math
from dataclasses import dataclass, field

from jujubenotch.pace.means import DecayingMean, add_sample, read_mean

# The usual times depend on the software and change seldom.
USUAL_TIME_S = 30.0
# Counted as two observations, until there are others: a fixed part and the reading of
# the tokens at the rate that features/forwarding/overload.feature assumes.
PRIOR_FIXED_S = 0.04
PRIOR_TOKEN_S = 1 / 60_000
PRIOR_TOKENS = 6_000
MIN_FIXED_S = 0.001
# A single observation moves the usual times by no more than this factor.
MAX_RATIO = 4.0
# Upper bounds of the load per slot for each factor; the last factor is for full ones.
FILL_BOUNDS = (0.35, 0.6, 0.85, 1.0)
FILL_PRIOR_WEIGHT = 4.0
MAX_ROUTES = 256


@dataclass(kw_only=True, slots=True)
class LineFit:
    """The sums of a weighted least-squares fit of a line, decaying with time."""

    weight: float = 0.0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0
    updated_s: float = 0.0


def _make_fill_means():
    return [DecayingMean() for _ in range(len(FILL_BOUNDS) + 1)]


@dataclass(kw_only=True, slots=True)
class UsualTimes:
    """What requests usually take on the upstreams of one service.

    :param fit: The time to the first token by the number of tokens to read.
    :param first_fills: The logarithm of its factor, by load.
    :param gaps: The logarithm of the pause between events, by route.
    :param gap_fills: The logarithm of its factor, by load.
    :param hold: How long a request occupies a slot, in seconds.

    >>> round(estimate_first_s(UsualTimes(), 6_000, 0.0, 0.0), 2)
    0.14
    """

    fit: LineFit = field(default_factory=LineFit)
    first_fills: list[DecayingMean] = field(default_factory=_make_fill_means)
    gaps: dict[str, DecayingMean] = field(default_factory=dict)
    gap_fills: list[DecayingMean] = field(default_factory=_make_fill_means)
    hold: DecayingMean = field(default_factory=DecayingMean)


def estimate_first_s(
    usual: UsualTimes, tokens: float, fill: float, now_s: float
) -> float:
    """Estimate the time to the first token on an upstream of usual speed.

    :param usual: The service's usual times.
    :param tokens: The number of tokens to read.
    :param fill: The requests on the upstream, as a multiple of its slots.
    :param now_s: The present monotonic time, in seconds.
    """
    fixed_s, token_s = solve_line(usual.fit, now_s)
    factor = _read_fill(usual.first_fills, fill, now_s)
    return (fixed_s + token_s * tokens) * math.exp(factor)


def estimate_read_s(usual: UsualTimes, tokens: float, now_s: float) -> float:
    """Estimate the time to read tokens on an idle upstream of usual speed.

    :param usual: The service's usual times.
    :param tokens: The number of tokens.
    :param now_s: The present monotonic time, in seconds.
    """
    return solve_line(usual.fit, now_s)[1] * tokens


def estimate_gap_s(
    usual: UsualTimes, route: str, fill: float, now_s: float
) -> float | None:
    """Estimate the pause between events on an upstream of usual speed.

    :param usual: The service's usual times.
    :param route: The route's name.
    :param fill: The requests on the upstream, as a multiple of its slots.
    :param now_s: The present monotonic time, in seconds.
    :returns: The pause in seconds; ``None`` before one was observed.
    """
    gap = usual.gaps.get(route)
    if gap is None or not gap.weight:
        return None
    return math.exp(gap.total / gap.weight + _read_fill(usual.gap_fills, fill, now_s))


def record_first(
    usual: UsualTimes, tokens: float, fill: float, took_s: float, now_s: float
) -> None:
    """Record a time to the first token, divided by the upstream's slowness.

    :param usual: The service's usual times; changed in place.
    :param tokens: The number of tokens to read.
    :param fill: The requests on the upstream, as a multiple of its slots.
    :param took_s: The time to the first token, in seconds.
    :param now_s: The present monotonic time, in seconds.
    """
    expected_s = estimate_first_s(usual, tokens, fill, now_s)
    took_s = min(max(took_s, expected_s / MAX_RATIO), expected_s * MAX_RATIO)
    _add_fill(usual.first_fills, fill, math.log(took_s / expected_s), now_s)
    factor = math.exp(_read_fill(usual.first_fills, fill, now_s))
    unloaded_s = took_s / factor
    _decay_fit(usual.fit, now_s)
    _add_point(usual.fit, tokens, unloaded_s, (expected_s / factor) ** -2)


def record_gap(
    usual: UsualTimes, route: str, fill: float, gap_s: float, now_s: float
) -> None:
    """Record a pause between events, divided by the upstream's slowness.

    :param usual: The service's usual times; changed in place.
    :param route: The route's name.
    :param fill: The requests on the upstream, as a multiple of its slots.
    :param gap_s: The pause, in seconds.
    :param now_s: The present monotonic time, in seconds.
    """
    expected_s = estimate_gap_s(usual, route, fill, now_s)
    if expected_s is not None:
        gap_s = min(max(gap_s, expected_s / MAX_RATIO), expected_s * MAX_RATIO)
        _add_fill(usual.gap_fills, fill, math.log(gap_s / expected_s), now_s)
    elif len(usual.gaps) >= MAX_ROUTES:
        usual.gaps.pop(next(iter(usual.gaps)))
    gap = usual.gaps.setdefault(route, DecayingMean())
    factor = _read_fill(usual.gap_fills, fill, now_s)
    add_sample(gap, math.log(gap_s) - factor, now_s=now_s, time_s=USUAL_TIME_S)


def solve_line(fit: LineFit, now_s: float) -> tuple[float, float]:
    """Return the fixed time and the time for each token, in seconds.

    :param fit: The fit; only decayed.
    :param now_s: The present monotonic time, in seconds.
    """
    _decay_fit(fit, now_s)
    prior_s = PRIOR_FIXED_S + PRIOR_TOKEN_S * PRIOR_TOKENS
    with_prior = LineFit(
        weight=fit.weight, x=fit.x, y=fit.y, xx=fit.xx, xy=fit.xy, updated_s=now_s
    )
    _add_point(with_prior, 0.0, PRIOR_FIXED_S, PRIOR_FIXED_S**-2)
    _add_point(with_prior, PRIOR_TOKENS, prior_s, prior_s**-2)
    return _solve(with_prior)


def _solve(fit):
    spread = fit.weight * fit.xx - fit.x * fit.x
    token_s = (fit.weight * fit.xy - fit.x * fit.y) / spread if spread > 0 else 0.0
    token_s = max(0.0, token_s)
    fixed_s = (fit.y - token_s * fit.x) / fit.weight
    if fixed_s >= MIN_FIXED_S:
        return fixed_s, token_s
    return MIN_FIXED_S, max(0.0, (fit.xy - MIN_FIXED_S * fit.x) / fit.xx)


def _add_point(fit, x, y, weight):
    fit.weight += weight
    fit.x += weight * x
    fit.y += weight * y
    fit.xx += weight * x * x
    fit.xy += weight * x * y


def _decay_fit(fit, now_s):
    if now_s <= fit.updated_s:
        return
    factor = math.exp((fit.updated_s - now_s) / USUAL_TIME_S)
    for name in ("weight", "x", "y", "xx", "xy"):
        setattr(fit, name, factor * getattr(fit, name))
    fit.updated_s = now_s


def _find_fill(fill):
    for number, bound in enumerate(FILL_BOUNDS):
        if fill <= bound:
            return number
    return len(FILL_BOUNDS)


def _read_fill(means, fill, now_s):
    return read_mean(
        means[_find_fill(fill)],
        now_s=now_s,
        time_s=USUAL_TIME_S,
        prior=0.0,
        prior_weight=FILL_PRIOR_WEIGHT,
    )


def _add_fill(means, fill, residual, now_s):
    """Add what is left unexplained to the factor of a load."""
    value = _read_fill(means, fill, now_s) + residual
    add_sample(means[_find_fill(fill)], value, now_s=now_s, time_s=USUAL_TIME_S)
