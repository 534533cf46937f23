"""Collects the evidence of all instances about requests that crash upstreams.

The evidence is a set of crashes by process and suspect and a set of acquittals, so that
reports that come late, twice or in another order lead to the same blocks.
"""

import logging
import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from jujubenotch.crashes.blame import MIN_CRASHES, choose_blocks
from jujubenotch.crashes.digest import is_request_digest
from jujubenotch.crashes.model import (
    Acquittal,
    Block,
    CrashReport,
    InstanceReports,
)
from jujubenotch.logs import log_event

logger = logging.getLogger(__name__)

LIFETIME_S = 600.0
MAX_CRASHES = 10
MAX_SUSPECTS_PER_CRASH = 72
MAX_ACQUITTALS = 256
# Acquittals of suspects with fewer crashes decide nothing yet and are not shared.
MIN_SHARED_CRASHES = 2
# A part, or a request, is trusted for this time after a good response.
TRUST_S = 300.0
TRUST_REQUEST_S = 60.0
# Requests that tell suspects of the same crashes apart are sent at most this often, so
# that the result of one is known before the next, and by as many instances in turn.
PROBE_INTERVAL_S = 5.0
PROBE_TURN_S = 20.0
PROBING_INSTANCES = 2
MAX_SOUND_PARTS = 4096
MAX_SOUND_REQUESTS = 4096


@dataclass(kw_only=True)
class OwnCrash:
    """A break that this instance saw at one process.

    :param reported_unix_s: The time of the first break as Unix time, in seconds.
    :param suspects: The suspects, in the order in which they were seen, each with
        whether it was trusted.
    """

    reported_unix_s: float
    suspects: dict[str, bool] = field(default_factory=dict)


@dataclass(kw_only=True)
class Evidence:
    """The evidence known to an instance.

    :param own_crashes: What this instance saw, by process.
    :param own_acquittals: The pairs of process and suspect that it acquitted.
    :param others: The reports of the other instances, by name.
    :param accusers: For each suspect the processes that crashed on it, without those
        from which it was acquitted, with the Unix time of each crash in seconds.
    :param learned_s: When this instance learned of each pair of process and suspect,
        monotonic, in seconds.
    :param sound_s: When this instance last saw a good response with each prompt part,
        monotonic, in seconds; the latest last.
    :param sound_requests_s: The same for whole requests.
    :param blocks: The blocks in force.
    :param published: The own acquittals that the other instances know.
    :param probed_s: When this instance last sent a request with each blocked suspect to
        learn whether it is sound, monotonic, in seconds.
    :param is_unpublished: Whether the other instances don't know all own reports.
    :param is_stale: Whether reports have changed since ``blocks`` was decided.

    >>> Evidence().blocks
    []
    """

    own_crashes: dict[str, OwnCrash] = field(default_factory=dict)
    own_acquittals: dict[tuple[str, str], None] = field(default_factory=dict)
    others: dict[str, InstanceReports] = field(default_factory=dict)
    accusers: dict[str, dict[str, float]] = field(default_factory=dict)
    learned_s: dict[tuple[str, str], float] = field(default_factory=dict)
    sound_s: dict[str, float] = field(default_factory=dict)
    sound_requests_s: dict[str, float] = field(default_factory=dict)
    blocks: list[Block] = field(default_factory=list)
    published: frozenset[tuple[str, str]] = frozenset()
    probed_s: dict[str, float] = field(default_factory=dict)
    is_unpublished: bool = False
    is_stale: bool = False


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
    if not _may_probe(evidence, met, contained, now_s, now_unix_s):
        return met[0]
    evidence.probed_s.update(dict.fromkeys(met[0].suspects, now_s))
    _log_block("suspects-probed", met[0], now_unix_s)
    return None


def _may_probe(evidence, met, contained, now_s, now_unix_s):
    """Tell whether the result of a request shows if its blocked suspect is sound."""
    last_s = max(evidence.probed_s.values(), default=-math.inf)
    if len(met) > 1 or now_s - last_s < PROBE_INTERVAL_S:
        return False
    block = met[0]
    if not block.rivals or block.rivals & contained:
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
        _drop_oldest(evidence.own_crashes, MAX_CRASHES)
    for suspect in suspects:
        if len(crash.suspects) < MAX_SUSPECTS_PER_CRASH:
            crash.suspects.setdefault(suspect, _is_trusted(evidence, suspect, now_s))
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
        _remember_sound(evidence, suspect, now_s)
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
    _drop_oldest(evidence.own_acquittals, MAX_ACQUITTALS)
    evidence.is_stale = True


def _remember_sound(evidence, suspect, now_s):
    sound_s, most = evidence.sound_s, MAX_SOUND_PARTS
    if is_request_digest(suspect):
        sound_s, most = evidence.sound_requests_s, MAX_SOUND_REQUESTS
    sound_s.pop(suspect, None)
    sound_s[suspect] = now_s
    _drop_oldest(sound_s, most)


def _is_trusted(evidence, suspect, now_s):
    sound_s, trust_s = evidence.sound_s, TRUST_S
    if is_request_digest(suspect):
        sound_s, trust_s = evidence.sound_requests_s, TRUST_REQUEST_S
    return now_s - sound_s.get(suspect, -math.inf) <= trust_s


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
    _drop_oldest(evidence.own_crashes, MAX_CRASHES)
    _drop_oldest(evidence.own_acquittals, MAX_ACQUITTALS)
    evidence.is_stale = True


def take_own_reports(evidence: Evidence) -> InstanceReports:
    """Return what this instance publishes, and record that it is published.

    :param evidence: The evidence; changed in place.
    """
    evidence.is_unpublished = False
    evidence.published = frozenset(evidence.own_acquittals)
    return make_own_reports(evidence)


def make_own_reports(evidence: Evidence) -> InstanceReports:
    """Return what this instance contributes to the evidence.

    :param evidence: The evidence.
    """
    crashes = tuple(
        CrashReport(
            process=process,
            reported_unix_s=crash.reported_unix_s,
            suspects=_select(crash.suspects, is_trusted=False),
            trusted=_select(crash.suspects, is_trusted=True),
        )
        for process, crash in evidence.own_crashes.items()
    )
    acquittals = tuple(
        Acquittal(process=process, suspect=suspect)
        for process, suspect in evidence.own_acquittals
    )
    return InstanceReports(crashes=crashes, acquittals=acquittals)


def _select(suspects, *, is_trusted):
    return tuple(name for name, trusted in suspects.items() if trusted is is_trusted)


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
    _vouch(evidence, accusers, now_s)
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
        _collect_trusted(evidence),
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


def _vouch(evidence, accusers, now_s):
    """Report trusted parts that only other instances accuse, who may not trust them.

    An instance that started a short time ago has seen no good response with a part that
    the others have served all the time.
    """
    trusted = _collect_trusted(evidence)
    for suspect, times in accusers.items():
        is_known = suspect in trusted or is_request_digest(suspect)
        if is_known or len(times) < MIN_CRASHES:
            continue
        if _is_trusted(evidence, suspect, now_s):
            _add_trusted(evidence, suspect, times)


def _add_trusted(evidence, suspect, times):
    process = max(times, key=times.get)
    crash = evidence.own_crashes.get(process)
    if crash is None:
        # Own reports are not displaced by what others have reported.
        if len(evidence.own_crashes) >= MAX_CRASHES:
            return
        crash = OwnCrash(reported_unix_s=times[process])
        evidence.own_crashes[process] = crash
    if suspect not in crash.suspects and len(crash.suspects) >= MAX_SUSPECTS_PER_CRASH:
        return
    crash.suspects[suspect] = True
    evidence.is_unpublished = True
    log_event(
        logger,
        logging.INFO,
        "suspect-trusted",
        suspect=suspect,
        process=process,
        crashes=len(times),
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


def _collect_trusted(evidence):
    own = make_own_reports(evidence)
    return {
        suspect
        for reports in (own, *evidence.others.values())
        for crash in reports.crashes
        for suspect in crash.trusted
    }


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


def _drop_oldest(entries, most):
    while len(entries) > most:
        del entries[next(iter(entries))]


def _log_changes(before, after, evidence, now_unix_s):
    known = {block.suspects for block in before}
    kept = {block.suspects for block in after}
    for block in after:
        if block.suspects not in known:
            _log_block("suspects-blocked", block, now_unix_s)
    for block in before:
        if block.suspects not in kept:
            crashes = [len(evidence.accusers.get(each, ())) for each in block.suspects]
            _log_block(
                "suspects-released", block, now_unix_s, crashes_left=max(crashes)
            )


def _log_block(event, block, now_unix_s, **fields):
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
