"""Divides a service's upstreams between long prompts and short prompts.

This is size-based task assignment: prompts that occupy an engine for several
steps run on other upstreams than short prompts, whose streams must not pause.
The number of upstreams in each group follows the loads that the upstreams of
both groups report. These loads include the requests of all instances, so that
neither group queues requests while upstreams of the other group are idle.
All instances rank the upstreams in the same order, so their divisions differ at
most in the few upstreams next to the boundary.
"""

import math
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from jujubenotch.membership import choose_by_rendezvous

# An engine needs more than one step to process a prompt of this length.
LONG_PROMPT_TOKENS = 4500
# The number of short requests that cause the same load as one long request.
LONG_WEIGHT = 2.5
# The prior of the averages: the requests per upstream that are assumed before
# any load is known, and the number of reports that this assumption counts for.
# These loads leave the boundary at its initial place, which gives two of five
# upstreams to short prompts.
PRIOR_SHORT_LOAD = 2.5
PRIOR_LONG_LOAD = 1.0
PRIOR_REPORTS = 2.0
INITIAL_SHORT_SHARE = 0.4
# A queue grows much faster than the demand that causes it, so these limits bound
# how far a queue can move the boundary.
MIN_SHORT_SHARE = 0.25
MAX_SHORT_SHARE = 0.7
# Short prompts get enough upstreams that they fill at most this share of the slots, so
# that a burst of long prompts can't take the slots of more urgent ones.
MAX_SHORT_FILL = 0.5
# Long enough for a steady average, and short compared with a burst.
AVERAGING_TIME_S = 2.0
# After a move, prompts that are cached on one upstream are processed again on
# another. The boundary therefore moves only when it would move by at least this
# many upstreams and at least this share of them.
MIN_MOVE_UPSTREAMS = 1.2
MIN_MOVE_SHARE = 0.06
RANKING_KEY = "short-prompts"


@dataclass(kw_only=True, slots=True)
class GroupLoad:
    """The reported loads of one group's upstreams, as an exponential average.

    :param total: Sum of the reported loads in requests; each load decays
        exponentially with its age.
    :param reports: Number of reports, decaying in the same way.
    :param updated_s: When the decay was last applied, monotonic, in seconds.
    """

    total: float = 0.0
    reports: float = 0.0
    updated_s: float = 0.0


@dataclass(kw_only=True, slots=True)
class Division:
    """The loads of a service's two groups, and the boundary between the groups.

    :param names: The service's upstreams at the last choice.
    :param short_names: The upstreams for short prompts at the last choice.
    :param short_count: The number of upstreams for short prompts; 0 before the
        first choice.

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
    """Return whether an engine needs more than one step to process a prompt.

    :param prompt_tokens: The prompt's length, in tokens.
    """
    return prompt_tokens >= LONG_PROMPT_TOKENS


def record_group_load(
    division: Division, name: str, requests: int, now_s: float
) -> None:
    """Record the load of one of the service's upstreams.

    :param division: The division; changed in place.
    :param name: The upstream's name; one that isn't in the division is ignored.
    :param requests: Requests running or waiting on the upstream.
    :param now_s: The present monotonic time, in seconds.
    """
    if name not in division.names:
        return
    group = division.short if name in division.short_names else division.long
    _decay(group, now_s)
    group.total += requests
    group.reports += 1.0


def choose_group(
    division: Division,
    names: Collection[str],
    *,
    slots: float,
    is_long: bool,
    now_s: float,
    ranking: Sequence[str] | None = None,
    shared_count: int | None = None,
) -> set[str]:
    """Return the upstreams for long prompts or those for short prompts.

    :param division: The division; changed in place, its boundary may move.
    :param names: The names of the service's upstreams.
    :param slots: The mean number of slots of an upstream.
    :param is_long: Whether to return the upstreams for long prompts.
    :param now_s: The present monotonic time, in seconds.
    :param ranking: The names in the order in which short prompts get them; ``None``
        for an order by hash.
    :param shared_count: The number of upstreams for short prompts that all instances
        use; ``None`` when each finds its own.
    :returns: The upstreams' names; all names when there are fewer than two.
    """
    if len(names) < 2:
        return set(names)
    if shared_count is None:
        _move_boundary(division, len(names), slots, now_s)
    else:
        division.short_count = _round_within(shared_count, len(names))
    ranking = rank_names(names) if ranking is None else ranking
    short = set(ranking[: division.short_count])
    division.names = frozenset(names)
    division.short_names = frozenset(short)
    return set(names) - short if is_long else short


def rank_names(names: Collection[str]) -> list[str]:
    """Rank upstreams in an order that is the same on all instances.

    :param names: The upstreams' names.
    """
    return choose_by_rendezvous(RANKING_KEY, names, len(names))


def _move_boundary(division, count, slots, now_s):
    lowest, highest = 1, count - 1
    if not lowest <= division.short_count <= highest:
        division.short_count = _round_within(INITIAL_SHORT_SHARE * count, count)
    short_load = _average(division.short, PRIOR_SHORT_LOAD, now_s)
    long_load = _average(division.long, PRIOR_LONG_LOAD, now_s)
    short = short_load * division.short_count
    long = LONG_WEIGHT * long_load * (count - division.short_count)
    needed = short / (MAX_SHORT_FILL * slots * count)
    share = max(MIN_SHORT_SHARE, needed, short / (short + long))
    share = min(MAX_SHORT_SHARE, share)
    move = abs(share * count - division.short_count)
    if move >= max(MIN_MOVE_UPSTREAMS, MIN_MOVE_SHARE * count):
        division.short_count = _round_within(share * count, count)


def _round_within(wanted, count):
    return max(1, min(count - 1, round(wanted)))


def _average(group, prior, now_s):
    _decay(group, now_s)
    total = group.total + PRIOR_REPORTS * prior
    return total / (group.reports + PRIOR_REPORTS)


def _decay(group, now_s):
    factor = math.exp(-max(0.0, now_s - group.updated_s) / AVERAGING_TIME_S)
    group.total *= factor
    group.reports *= factor
    group.updated_s = now_s
