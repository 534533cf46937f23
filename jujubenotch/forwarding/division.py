"""Divides a service's upstreams between long prompts and short ones.

Task assignment by size: prompts that keep an engine busy for several steps run
apart from short ones, whose streams must not pause. The boundary follows the
loads that the upstreams of both parts tell of, which hold the work of all
instances, so that neither waits while upstreams of the other stand free.
Instances rank the upstreams alike, so their boundaries differ by the few
upstreams in the middle at most.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass, field

from jujubenotch.membership import choose_by_rendezvous

# A prompt this long is read in more than one step of an engine.
LONG_PROMPT_TOKENS = 4500
# Short requests that a long one counts for.
LONG_WEIGHT = 2.5
# Requests per upstream that are assumed before any load is known, and how many
# reports that assumption counts for: the loads at which two of five parts are
# for short prompts.
PRIOR_SHORT_LOAD = 2.5
PRIOR_LONG_LOAD = 1.0
PRIOR_REPORTS = 2.0
FIRST_SHORT_SHARE = 0.4
# A queue grows much faster than the demand behind it, so it moves the boundary
# only so far.
MIN_SHORT_SHARE = 0.25
MAX_SHORT_SHARE = 0.7
# Long enough to be steady, short beside a burst.
AVERAGE_OVER_S = 2.0
# Moves of the boundary cost prompts read again, so small ones are not made.
MIN_MOVE = 1.2
MIN_MOVE_SHARE = 0.06
RANKING_KEY = "short-prompts"


@dataclass(kw_only=True, slots=True)
class GroupLoad:
    """The loads that a part's upstreams told of, averaged over the last seconds.

    :param total: Their sum, in requests, each fading with its age.
    :param reports: How many there were, fading alike.
    :param updated_s: When they faded last, monotonic, in seconds.
    """

    total: float = 0.0
    reports: float = 0.0
    updated_s: float = 0.0


@dataclass(kw_only=True, slots=True)
class Division:
    """The loads of a service's two parts, and the boundary between them.

    :param names: The service's upstreams at the last choice.
    :param short_names: Those for short prompts.
    :param short_count: Upstreams for short prompts; 0 before the first choice.

    >>> division = Division()
    >>> sorted(choose_group(division, ["a", "b"], is_long=True, now_s=0.0))
    ['b']
    """

    long: GroupLoad = field(default_factory=GroupLoad)
    short: GroupLoad = field(default_factory=GroupLoad)
    names: frozenset[str] = frozenset()
    short_names: frozenset[str] = frozenset()
    short_count: int = 0


def is_long_prompt(prompt_tokens: int) -> bool:
    """Tell whether a prompt is read in more than one step.

    :param prompt_tokens: Tokens of the prompt.
    """
    return prompt_tokens >= LONG_PROMPT_TOKENS


def record_group_load(
    division: Division, name: str, requests: int, now_s: float
) -> None:
    """Note the load of an upstream of the service.

    :param division: The division; changed in place.
    :param name: The upstream's name; one that isn't divided is passed over.
    :param requests: Requests running or waiting there.
    :param now_s: The present monotonic time, in seconds.
    """
    if name not in division.names:
        return
    group = division.short if name in division.short_names else division.long
    _fade(group, now_s)
    group.total += requests
    group.reports += 1.0


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
    division.names = frozenset(names)
    division.short_names = frozenset(short)
    return set(names) - short if is_long else short


def _move_boundary(division, count, now_s):
    lowest, highest = 1, count - 1
    if not lowest <= division.short_count <= highest:
        division.short_count = _round_within(FIRST_SHORT_SHARE * count, count)
    short_load = _average(division.short, PRIOR_SHORT_LOAD, now_s)
    long_load = _average(division.long, PRIOR_LONG_LOAD, now_s)
    short = short_load * division.short_count
    long = LONG_WEIGHT * long_load * (count - division.short_count)
    share = max(MIN_SHORT_SHARE, min(MAX_SHORT_SHARE, short / (short + long)))
    move = abs(share * count - division.short_count)
    if move >= max(MIN_MOVE, MIN_MOVE_SHARE * count):
        division.short_count = _round_within(share * count, count)


def _round_within(wanted, count):
    return max(1, min(count - 1, round(wanted)))


def _average(group, prior, now_s):
    _fade(group, now_s)
    total = group.total + PRIOR_REPORTS * prior
    return total / (group.reports + PRIOR_REPORTS)


def _fade(group, now_s):
    kept = math.exp(-max(0.0, now_s - group.updated_s) / AVERAGE_OVER_S)
    group.total *= kept
    group.reports *= kept
    group.updated_s = now_s
