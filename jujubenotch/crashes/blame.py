"""Decides which suspects explain the crashes.

A crash breaks off everything that the upstream was running, so sound requests are
accused as well. The fewest suspects that explain the crashes are blamed, those with
the most crashes first (a greedy set cover, as in group testing).
"""

from collections.abc import Collection, Mapping

from jujubenotch.crashes.digest import is_request_digest
from jujubenotch.crashes.model import Block

# Of one crash or two there are other explanations, such as upstreams that are killed.
MIN_CRASHES = 3
# From this number on, each of the suspects that have the same crashes is blocked.
# Below it, only requests that contain all of them are: the others tell them apart.
MIN_CRASHES_EACH = 4
# Connections to several upstreams that break within this time may have one cause, such
# as a link that is cut.
SAME_CAUSE_S = 0.1

CrashTimes = Mapping[str, float]


def choose_blocks(
    accusers: Mapping[str, CrashTimes], acquitted: Collection[str]
) -> list[Block]:
    """Choose the suspects whose requests are not sent.

    :param accusers: For each suspect the processes that crashed on it, with the time
        of each crash in seconds.
    :param acquitted: Suspects of which a request has ended well since their first
        crash; of several that explain the same crashes the others are preferred.
    :returns: The blocks, strongest evidence first.
    """
    blocks = []
    causes = find_causes(accusers)
    remaining = {suspect: dict(times) for suspect, times in accusers.items()}
    while remaining:
        weights = {
            suspect: _weigh(suspect, times, causes, acquitted)
            for suspect, times in remaining.items()
        }
        most = max(weights.values())
        if most[0] < MIN_CRASHES:
            break
        leaders = [suspect for suspect, weight in weights.items() if weight == most]
        for group in _group_by_processes(leaders, remaining):
            blocks += _block_group(group, remaining, most[0])
        explained = {process for suspect in leaders for process in remaining[suspect]}
        remaining = _remove_processes(remaining, explained)
    return blocks


def _weigh(suspect, times, causes, acquitted):
    """Return what ranks suspects: crashes first; a request is narrower than a part."""
    is_request = is_request_digest(suspect)
    # One request isn't at several upstreams at the same time, as parts may be.
    count = len(times) if is_request else len({causes[name] for name in times})
    return count, len(times), suspect not in acquitted, is_request


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


def _block_group(group, accusers, crashes):
    times = accusers[group[0]]
    combinations = [frozenset(group)]
    if crashes >= MIN_CRASHES_EACH:
        combinations = [frozenset({suspect}) for suspect in group]
    return [
        Block(
            suspects=suspects,
            processes=frozenset(times),
            newest_unix_s=max(times.values()),
        )
        for suspects in combinations
    ]


def _remove_processes(accusers, explained):
    remaining = {}
    for suspect, times in accusers.items():
        rest = {name: at_s for name, at_s in times.items() if name not in explained}
        if rest:
            remaining[suspect] = rest
    return remaining
