"""Remembers good responses, and vouches for what other instances accuse."""

import logging
import math
from collections.abc import Mapping

from jujubenotch.crashes.blame import MIN_CRASHES, CrashTimes
from jujubenotch.crashes.digest import is_request_digest
from jujubenotch.crashes.state import (
    MAX_CRASHES,
    MAX_SUSPECTS_PER_CRASH,
    Evidence,
    OwnCrash,
    drop_oldest,
    make_own_reports,
)
from jujubenotch.logs import log_event

logger = logging.getLogger(__name__)

# A part, or a request, is trusted for this time after a good response.
TRUST_S = 300.0
TRUST_REQUEST_S = 60.0
MAX_SOUND_PARTS = 4096
MAX_SOUND_REQUESTS = 4096


def remember_sound(evidence: Evidence, suspect: str, now_s: float) -> None:
    """Remember a good response with a suspect.

    :param evidence: The evidence; changed in place.
    :param suspect: The digest.
    :param now_s: The present monotonic time, in seconds.
    """
    sound_s, most = evidence.sound_s, MAX_SOUND_PARTS
    if is_request_digest(suspect):
        sound_s, most = evidence.sound_requests_s, MAX_SOUND_REQUESTS
    sound_s.pop(suspect, None)
    sound_s[suspect] = now_s
    drop_oldest(sound_s, most)


def is_trusted(evidence: Evidence, suspect: str, now_s: float) -> bool:
    """Tell whether this instance saw a good response with a suspect lately.

    :param evidence: The evidence.
    :param suspect: The digest.
    :param now_s: The present monotonic time, in seconds.
    """
    sound_s, trust_s = evidence.sound_s, TRUST_S
    if is_request_digest(suspect):
        sound_s, trust_s = evidence.sound_requests_s, TRUST_REQUEST_S
    return now_s - sound_s.get(suspect, -math.inf) <= trust_s


def vouch(evidence: Evidence, accusers: Mapping[str, CrashTimes], now_s: float) -> None:
    """Report trusted parts that only other instances accuse, who may not trust them.

    An instance that started a short time ago has seen no good response with a part that
    the others have served all the time.

    :param evidence: The evidence; changed in place.
    :param accusers: For each suspect the processes that crashed on it, with the time
        of each crash in seconds.
    :param now_s: The present monotonic time, in seconds.
    """
    trusted = collect_trusted(evidence)
    for suspect, times in accusers.items():
        is_known = suspect in trusted or is_request_digest(suspect)
        if is_known or len(times) < MIN_CRASHES:
            continue
        if is_trusted(evidence, suspect, now_s):
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


def collect_trusted(evidence: Evidence) -> set[str]:
    """Return the suspects that any instance trusts.

    :param evidence: The evidence.
    """
    own = make_own_reports(evidence)
    return {
        suspect
        for reports in (own, *evidence.others.values())
        for crash in reports.crashes
        for suspect in crash.trusted
    }
