"""Decides which suspects explain the crashes.

A crash breaks off everything that the upstream was running, so sound requests are
accused as well. The fewest suspects that explain the crashes are blamed, those with
the most crashes first (a greedy set cover, as in group testing).
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace

from jujubenotch.crashes.digest import is_request_digest
from jujubenotch.crashes.model import Block

# One or two crashes may have another cause, such as killed upstreams.
MIN_CRASHES = 3
# Parts that many sound requests contain are in progress at most crashes, so more are
# needed to blame a suspect that was trusted, or acquitted of one of them.
MIN_CRASHES_TRUSTED = 5
MIN_CRASHES_ACQUITTED = 6
# How much each crash counts when suspects are ranked. A sound part that two bad
# contents share has the crashes of both and must not rank before them.
TRUSTED_WEIGHT = 0.5
ACQUITTED_WEIGHT = 0.4
# With fewer crashes, only requests that contain all suspects of the same crashes are
# blocked. Requests with some of them show which one is at fault.
MIN_CRASHES_EACH = 4
# A crash more may have another cause, such as a killed upstream.
MAX_UNEXPLAINED_CRASHES = 1
# Crashes within this time count once: a failure of the network breaks the connections
# to several upstreams at the same time.
SAME_CAUSE_S = 0.1

CrashTimes = Mapping[str, float]


@dataclass(frozen=True, kw_only=True, slots=True)
class Standing:
    """How strong the evidence against a suspect has to be.

    :param min_crashes: The number of crashes from which on it may be blamed.
    :param weight: How much each crash counts when suspects are ranked.
    """

    min_crashes: int
    weight: float


DEFAULT_STANDING = Standing(min_crashes=MIN_CRASHES, weight=1.0)


def choose_blocks(
    accusers: Mapping[str, CrashTimes],
    acquitted: Collection[str],
    trusted: Collection[str] = (),
) -> list[Block]:
    """Choose the suspects whose requests are not sent.

    :param accusers: For each suspect the processes that crashed on it, with the time
        of each crash in seconds.
    :param acquitted: Suspects of which a request has ended well since one of their
        crashes.
    :param trusted: Suspects of which responses had ended well shortly before a crash.
    :returns: The blocks, strongest evidence first.
    """
    causes = find_causes(accusers)
    standings = {
        suspect: _find_standing(suspect, acquitted, trusted) for suspect in accusers
    }
    blocks = _explain(accusers, causes, standings)
    return [
        replace(block, rivals=_find_rivals(block, accusers, causes, standings))
        for block in blocks
    ]


def _explain(accusers, causes, standings):
    """Block the fewest suspects that explain the crashes."""
    blocks = []
    remaining = {suspect: dict(times) for suspect, times in accusers.items()}
    while ranks := {
        suspect: _rank(suspect, times, standings[suspect])
        for suspect, times in remaining.items()
        if _count_causes(suspect, times, causes, standings[suspect])
        >= standings[suspect].min_crashes
    }:
        best = max(ranks.values())
        leaders = [suspect for suspect, rank in ranks.items() if rank == best]
        for group in _group_by_processes(leaders, remaining):
            blocks += _block_group(group, remaining)
        explained = {process for suspect in leaders for process in remaining[suspect]}
        remaining = _remove_processes(remaining, explained)
    return blocks


def _find_standing(suspect, acquitted, trusted):
    if suspect in acquitted:
        return Standing(min_crashes=MIN_CRASHES_ACQUITTED, weight=ACQUITTED_WEIGHT)
    if suspect in trusted:
        return Standing(min_crashes=MIN_CRASHES_TRUSTED, weight=TRUSTED_WEIGHT)
    return DEFAULT_STANDING


def _rank(suspect, times, standing):
    """Return the rank of a suspect.

    Of a request and a part with equal evidence the request ranks first, as its block
    concerns fewer requests.
    """
    return standing.weight * len(times), standing.weight, is_request_digest(suspect)


def _count_causes(suspect, times, causes, standing):
    if is_request_digest(suspect) and standing == DEFAULT_STANDING:
        # A request that crashes upstreams may be at several of them at once. If one has
        # ended well before, another cause is more likely, as it is for parts.
        return len(times)
    return len({causes[process] for process in times})


def find_causes(accusers: Mapping[str, CrashTimes]) -> dict[str, int]:
    """Number the causes of the crashes; those at nearly the same time have one.

    :param accusers: For each suspect the processes that crashed on it, with the time
        of each crash in seconds.
    :returns: The number of the cause, by process.
    """
    times_s = {}
    for times in accusers.values():
        for process, at_s in times.items():
            times_s[process] = min(at_s, times_s.get(process, at_s))
    causes = {}
    cause, begun_s = 0, float("-inf")
    for process, at_s in sorted(times_s.items(), key=lambda item: item[1]):
        if at_s - begun_s > SAME_CAUSE_S:
            cause, begun_s = cause + 1, at_s
        causes[process] = cause
    return causes


def _group_by_processes(suspects, accusers):
    groups = {}
    for suspect in suspects:
        groups.setdefault(frozenset(accusers[suspect]), []).append(suspect)
    return groups.values()


def _block_group(group, accusers):
    times = accusers[group[0]]
    combinations = [frozenset(group)]
    if len(times) >= MIN_CRASHES_EACH:
        combinations = [frozenset({suspect}) for suspect in group]
    return [
        Block(
            suspects=suspects,
            processes=frozenset(times),
            newest_unix_s=max(times.values()),
        )
        for suspects in combinations
    ]


def _find_rivals(block, accusers, causes, standings):
    """Return the suspects that explain a block's crashes if its own suspect is sound.

    There are none unless they explain nearly all of them.
    """
    if len(block.suspects) > 1:
        return frozenset()
    others = {
        suspect: {name: at_s for name, at_s in times.items() if name in block.processes}
        for suspect, times in accusers.items()
        if suspect not in block.suspects
    }
    blocks = _explain(others, causes, standings)
    explained = frozenset().union(*(each.processes for each in blocks))
    if len(block.processes - explained) > MAX_UNEXPLAINED_CRASHES:
        return frozenset()
    return frozenset().union(*(each.suspects for each in blocks))


def _remove_processes(accusers, explained):
    remaining = {}
    for suspect, times in accusers.items():
        rest = {name: at_s for name, at_s in times.items() if name not in explained}
        if rest:
            remaining[suspect] = rest
    return remaining
