"""Decides from the evidence which suspects are blocked."""

import logging

from jujubenotch.crashes.blame import MIN_CRASHES, choose_blocks
from jujubenotch.crashes.model import Block
from jujubenotch.crashes.state import LIFETIME_S, Evidence, make_own_reports
from jujubenotch.crashes.trust import collect_trusted, vouch
from jujubenotch.logs import log_event

logger = logging.getLogger(__name__)

# Acquittals of suspects with fewer crashes decide nothing yet and are not shared.
MIN_SHARED_CRASHES = 2


def refresh_if_stale(evidence: Evidence, *, now_s: float, now_unix_s: float) -> None:
    """Drop evidence that has expired and decide again which suspects are blocked.

    Does nothing unless reports have changed since the last decision.

    :param evidence: The evidence; changed in place.
    :param now_s: The present monotonic time, in seconds.
    :param now_unix_s: The present Unix time, in seconds.
    """
    if not evidence.is_stale:
        return
    evidence.is_stale = False
    _drop_expired(evidence, now_unix_s)
    accusers = _collect_accusers(evidence, now_unix_s)
    vouch(evidence, accusers, now_s)
    _drop_outdated_acquittals(evidence, accusers)
    _note_new_acquittals(evidence, accusers)
    acquitted = _collect_acquittals(evidence, accusers)
    evidence.learned_s = {
        (process, suspect): evidence.learned_s.get((process, suspect), now_s)
        for suspect, times in accusers.items()
        for process in times
    }
    for process, suspect in acquitted:
        del accusers[suspect][process]
    evidence.accusers = {suspect: times for suspect, times in accusers.items() if times}
    for suspect in evidence.probed_s.keys() - evidence.accusers.keys():
        del evidence.probed_s[suspect]
    blocks = choose_blocks(
        evidence.accusers,
        {suspect for _, suspect in acquitted},
        collect_trusted(evidence),
    )
    _log_changes(evidence.blocks, blocks, evidence, now_unix_s)
    evidence.blocks = blocks


def _drop_expired(evidence, now_unix_s):
    expired = {
        process: now_unix_s - crash.reported_unix_s
        for process, crash in evidence.own_crashes.items()
        if now_unix_s - crash.reported_unix_s > LIFETIME_S
    }
    if not expired:
        return
    for process in expired:
        del evidence.own_crashes[process]
    evidence.is_unpublished = True
    log_event(
        logger,
        logging.INFO,
        "crash-reports-expired",
        processes=sorted(expired),
        newest_age_s=round(min(expired.values()), 3),
    )


def _drop_outdated_acquittals(evidence, accusers):
    """Drop the acquittals of crashes that no report names any more."""
    for process, suspect in list(evidence.own_acquittals):
        if process not in accusers.get(suspect, ()):
            del evidence.own_acquittals[process, suspect]


def _note_new_acquittals(evidence, accusers):
    if any(
        pair not in evidence.published
        and len(accusers.get(pair[1], ())) >= MIN_SHARED_CRASHES
        for pair in evidence.own_acquittals
    ):
        evidence.is_unpublished = True


def _collect_acquittals(evidence, accusers):
    acquitted = set(evidence.own_acquittals)
    for reports in evidence.others.values():
        acquitted.update((each.process, each.suspect) for each in reports.acquittals)
    return {
        (process, suspect)
        for process, suspect in acquitted
        if process in accusers.get(suspect, ())
    }


def _collect_accusers(evidence, now_unix_s):
    accusers = {}
    own = make_own_reports(evidence)
    for reports in (own, *evidence.others.values()):
        for crash in reports.crashes:
            if now_unix_s - crash.reported_unix_s > LIFETIME_S:
                continue
            for suspect in (*crash.suspects, *crash.trusted):
                times = accusers.setdefault(suspect, {})
                at_s = times.get(crash.process, crash.reported_unix_s)
                times[crash.process] = min(at_s, crash.reported_unix_s)
    return accusers


def _log_changes(before, after, evidence, now_unix_s):
    known = {block.suspects for block in before}
    kept = {block.suspects for block in after}
    for block in after:
        if block.suspects not in known:
            log_block("suspects-blocked", block, now_unix_s)
    for block in before:
        if block.suspects not in kept:
            crashes = [len(evidence.accusers.get(each, ())) for each in block.suspects]
            log_block("suspects-released", block, now_unix_s, crashes_left=max(crashes))


def log_block(event: str, block: Block, now_unix_s: float, **fields) -> None:
    """Log what happens to a block.

    :param event: The event.
    :param block: The block.
    :param now_unix_s: The present Unix time, in seconds.
    :param fields: Further fields of the line.
    """
    log_event(
        logger,
        logging.WARNING,
        event,
        suspects=sorted(block.suspects),
        crashes=len(block.processes),
        needed=MIN_CRASHES,
        processes=sorted(block.processes),
        newest_age_s=round(now_unix_s - block.newest_unix_s, 3),
        **fields,
    )
