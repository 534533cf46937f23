"""Collects the evidence of all instances about requests that crash upstreams.

The evidence is a set of crashes by process and suspect and a set of acquittals, so that
reports that come late, twice or in another order lead to the same blocks.
"""

import logging
from collections.abc import Iterable, Sequence

from jujubenotch.crashes.decide import log_block, refresh_if_stale
from jujubenotch.crashes.model import Block, InstanceReports
from jujubenotch.crashes.probing import may_probe
from jujubenotch.crashes.state import (
    MAX_ACQUITTALS,
    MAX_CRASHES,
    MAX_SUSPECTS_PER_CRASH,
    Evidence,
    OwnCrash,
    drop_oldest,
    make_own_reports,
)
from jujubenotch.crashes.trust import is_trusted, remember_sound
from jujubenotch.logs import log_event

logger = logging.getLogger(__name__)


def find_block(
    evidence: Evidence,
    suspects: Iterable[str],
    *,
    now_s: float,
    now_unix_s: float,
) -> Block | None:
    """Return the block that a request meets.

    A request that can tell the suspects of the same crashes apart is let through now
    and then, as nothing else would release the sound ones.

    :param evidence: The evidence; decided again if reports have changed, and changed
        when the request is let through.
    :param suspects: The digests of the request and of its prompt parts.
    :param now_s: The present monotonic time, in seconds.
    :param now_unix_s: The present Unix time, in seconds.
    """
    refresh_if_stale(evidence, now_s=now_s, now_unix_s=now_unix_s)
    if not evidence.blocks:
        return None
    contained = frozenset(suspects)
    met = [block for block in evidence.blocks if block.suspects <= contained]
    if not met:
        return None
    if not may_probe(evidence, met, contained, now_s=now_s, now_unix_s=now_unix_s):
        return met[0]
    evidence.probed_s.update(dict.fromkeys(met[0].suspects, now_s))
    log_block("suspects-probed", met[0], now_unix_s)
    return None


def record_break(
    evidence: Evidence,
    process: str,
    suspects: Sequence[str],
    *,
    now_s: float,
    now_unix_s: float,
) -> None:
    """Record that a process ended soon after a response of it had begun.

    :param evidence: The evidence; changed in place.
    :param process: The process of the upstream.
    :param suspects: The digests of the requests that it was running, and of the prompt
        parts of those whose responses it had just begun.
    :param now_s: The present monotonic time, in seconds.
    :param now_unix_s: The present Unix time, in seconds.
    """
    if not suspects:
        return
    crash = evidence.own_crashes.get(process)
    if crash is None:
        crash = OwnCrash(reported_unix_s=now_unix_s)
        evidence.own_crashes[process] = crash
        drop_oldest(evidence.own_crashes, MAX_CRASHES)
    for suspect in suspects:
        if len(crash.suspects) < MAX_SUSPECTS_PER_CRASH:
            crash.suspects.setdefault(suspect, is_trusted(evidence, suspect, now_s))
    evidence.is_unpublished = True
    evidence.is_stale = True


def record_sound_response(
    evidence: Evidence,
    suspects: Sequence[str],
    *,
    begun_s: float,
    now_s: float,
    now_unix_s: float,
) -> None:
    """Record that a response ended well, or went on for long enough.

    It acquits its suspects of the crashes that were known when it began.

    :param evidence: The evidence; changed in place.
    :param suspects: The digests of the request or of its prompt parts.
    :param begun_s: The monotonic time at which the response began, in seconds.
    :param now_s: The present monotonic time, in seconds.
    :param now_unix_s: The present Unix time, in seconds.
    """
    for suspect in suspects:
        remember_sound(evidence, suspect, now_s)
    refresh_if_stale(evidence, now_s=now_s, now_unix_s=now_unix_s)
    if not evidence.accusers:
        return
    acquitted = [
        (process, suspect)
        for suspect in suspects
        for process in evidence.accusers.get(suspect, ())
        if evidence.learned_s[process, suspect] < begun_s
    ]
    if not acquitted:
        return
    _log_acquitted(evidence, acquitted, now_unix_s)
    for pair in acquitted:
        evidence.own_acquittals[pair] = None
    drop_oldest(evidence.own_acquittals, MAX_ACQUITTALS)
    evidence.is_stale = True


def _log_acquitted(evidence, acquitted, now_unix_s):
    newest_s = max(
        evidence.accusers[suspect][process] for process, suspect in acquitted
    )
    log_event(
        logger,
        logging.INFO,
        "suspects-acquitted",
        suspects=sorted({suspect for _, suspect in acquitted}),
        processes=sorted({process for process, _ in acquitted}),
        newest_age_s=round(now_unix_s - newest_s, 3),
    )


def apply_reports(
    evidence: Evidence, instance: str, reports: InstanceReports | None
) -> None:
    """Replace the reports of another instance.

    :param evidence: The evidence; changed in place.
    :param instance: The name of the instance.
    :param reports: Its reports; ``None`` when they were removed or can't be read.
    """
    if reports is None:
        evidence.others.pop(instance, None)
    else:
        evidence.others[instance] = reports
    evidence.is_stale = True


def adopt_reports(evidence: Evidence, reports: InstanceReports) -> None:
    """Take over the reports that this instance published before it started again.

    :param evidence: The evidence; changed in place.
    :param reports: The reports of the earlier process.
    """
    for report in reports.crashes:
        evidence.own_crashes.setdefault(
            report.process,
            OwnCrash(
                reported_unix_s=report.reported_unix_s,
                suspects=dict.fromkeys(report.suspects, False)
                | dict.fromkeys(report.trusted, True),
            ),
        )
    for each in reports.acquittals:
        evidence.own_acquittals[each.process, each.suspect] = None
    drop_oldest(evidence.own_crashes, MAX_CRASHES)
    drop_oldest(evidence.own_acquittals, MAX_ACQUITTALS)
    evidence.is_stale = True


def take_own_reports(evidence: Evidence) -> InstanceReports:
    """Return what this instance publishes, and record that it is published.

    :param evidence: The evidence; changed in place.
    """
    evidence.is_unpublished = False
    evidence.published = frozenset(evidence.own_acquittals)
    return make_own_reports(evidence)
