"""Decides which blocked requests are sent to learn whether a suspect is sound."""

import math
from collections.abc import Collection

from jujubenotch.crashes.model import Block
from jujubenotch.crashes.state import Evidence, make_own_reports

# Requests that tell suspects of the same crashes apart are sent at most this often, so
# that the result of one is known before the next, and by as many instances in turn.
PROBE_INTERVAL_S = 5.0
PROBE_TURN_S = 20.0
PROBING_INSTANCES = 2


def may_probe(
    evidence: Evidence,
    met: list[Block],
    contained: Collection[str],
    *,
    now_s: float,
    now_unix_s: float,
) -> bool:
    """Tell whether a request is sent, as its result shows if its suspect is sound.

    :param evidence: The evidence.
    :param met: The blocks that the request meets.
    :param contained: The digests of the request and of its prompt parts.
    :param now_s: The present monotonic time, in seconds.
    :param now_unix_s: The present Unix time, in seconds.
    """
    last_s = max(evidence.probed_s.values(), default=-math.inf)
    if len(met) > 1 or now_s - last_s < PROBE_INTERVAL_S:
        return False
    block = met[0]
    if not block.rivals or not block.rivals.isdisjoint(contained):
        return False
    if _has_crashed_again(evidence, block):
        return False
    return _is_probing(evidence, block, now_unix_s)


def _has_crashed_again(evidence, block):
    """Tell whether a suspect was accused of a crash since it was probed."""
    return any(
        evidence.learned_s[process, suspect] > evidence.probed_s[suspect]
        for suspect in block.suspects & evidence.probed_s.keys()
        for process in evidence.accusers[suspect]
    )


def _is_probing(evidence, block, now_unix_s):
    """Tell whether it is this instance's turn to send requests with the suspects.

    The first to report a block's crashes begin, the next follow in case these have
    ended. Only a few at a time do so, as the bound on such requests holds for all
    instances together.
    """
    own_s = _find_first_report_s(make_own_reports(evidence), block)
    if not math.isfinite(own_s):
        return False
    others_s = [
        _find_first_report_s(reports, block) for reports in evidence.others.values()
    ]
    reporters = 1 + sum(map(math.isfinite, others_s))
    earlier = sum(other_s <= own_s for other_s in others_s)
    turns = math.ceil(reporters / PROBING_INSTANCES)
    turn = int(max(0.0, now_unix_s - block.newest_unix_s) / PROBE_TURN_S)
    return earlier // PROBING_INSTANCES == turn % turns


def _find_first_report_s(reports, block):
    return min(
        (
            crash.reported_unix_s
            for crash in reports.crashes
            if crash.process in block.processes
        ),
        default=math.inf,
    )
