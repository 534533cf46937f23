"""Divides a service's upstreams between long prompts and short ones.

Task assignment by size: prompts that keep an engine busy for several steps run
apart from short ones, whose streams must not pause. The boundary follows the
demand of both, so that neither waits while upstreams of the other stand free.
Instances rank the upstreams alike, so their boundaries differ by the one or two
upstreams in the middle at most.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass, field

from jujubenotch.membership import choose_by_rendezvous

# A prompt this long is read in more than one step of an engine.
LONG_PROMPT_TOKENS = 4500
# Short requests that one long one counts for.
LONG_WEIGHT = 2.5
# What a division is made by without requests: two short parts of five.
PRIOR_SHORT = 6.0
PRIOR_LONG = 3.6
# Long enough to be steady, short beside a burst.
AVERAGE_OVER_S = 1.5
# Moves of the boundary cost prompts read again, so small ones are not made.
MIN_MOVE = 1.2
RANKING_KEY = "short-prompts"


@dataclass(kw_only=True, slots=True)
class Demand:
    """Requests in progress, averaged over the last seconds.

    :param running: Requests in progress now.
    :param average: Their average.
    :param updated_s: When the average was taken, monotonic, in seconds.
    """

    running: int = 0
    average: float = 0.0
    updated_s: float = 0.0


@dataclass(kw_only=True, slots=True)
class Division:
    """The demand of a service's long and short prompts, and its boundary.

    :param short_count: Upstreams for short prompts; 0 before the first choice.

    >>> division = Division()
    >>> sorted(choose_group(division, ["a", "b"], is_long=True, now_s=0.0))
    ['b']
    """

    long: Demand = field(default_factory=Demand)
    short: Demand = field(default_factory=Demand)
    short_count: int = 0


def is_long_prompt(prompt_tokens: int) -> bool:
    """Tell whether a prompt is read in more than one step.

    :param prompt_tokens: Tokens of the prompt.
    """
    return prompt_tokens >= LONG_PROMPT_TOKENS


def record_change(
    division: Division, change: int, *, is_long: bool, now_s: float
) -> None:
    """Note that a request began or ended.

    :param division: The division; changed in place.
    :param change: 1 for a beginning, -1 for an end.
    :param is_long: Whether its prompt is long.
    :param now_s: The present monotonic time, in seconds.
    """
    demand = division.long if is_long else division.short
    _take_average(demand, now_s)
    demand.running += change


def choose_group(
    division: Division, names: Collection[str], *, is_long: bool, now_s: float
) -> set[str]:
    """Choose the upstreams for long or for short prompts.

    :param division: The division; its boundary may move.
    :param names: The service's upstreams.
    :param is_long: For long prompts.
    :param now_s: The present monotonic time, in seconds.
    :returns: The names; all of them where there are fewer than two.
    """
    if len(names) < 2:
        return set(names)
    _move_boundary(division, len(names), now_s)
    short = set(choose_by_rendezvous(RANKING_KEY, names, division.short_count))
    return set(names) - short if is_long else short


def _move_boundary(division, count, now_s):
    _take_average(division.long, now_s)
    _take_average(division.short, now_s)
    short = division.short.average + PRIOR_SHORT
    long = LONG_WEIGHT * (division.long.average + PRIOR_LONG)
    wanted = count * short / (short + long)
    lowest, highest = 1, count - 1
    is_inside = lowest <= division.short_count <= highest
    if is_inside and abs(wanted - division.short_count) < MIN_MOVE:
        return
    division.short_count = max(lowest, min(highest, round(wanted)))


def _take_average(demand, now_s):
    passed_s = max(0.0, now_s - demand.updated_s)
    kept = math.exp(-passed_s / AVERAGE_OVER_S)
    demand.average = demand.average * kept + demand.running * (1.0 - kept)
    demand.updated_s = now_s
