"""How fast upstreams answer, as this instance saw it, and what others run there.

What was seen here goes before an upstream's lagging report. The report only
adds what this account can't know: requests of holders that it has not heard of.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from jujubenotch.estimates import RunningMean, update_mean
from jujubenotch.work import LoadReport, WorkReport

SPEED_WEIGHT = 0.2
TOKENS_WEIGHED = 16
DEFAULT_LATENCY_S = 0.1
FORGET_S = 30.0
MAX_CHANGES = 64
REPORT_VALID_S = 15.0
REPORT_SLACK_S = 0.5


@dataclass(kw_only=True, slots=True)
class Speed:
    """The observed latency of one upstream, or of a whole group.

    :param first_token_s: Mean time to the first token, in seconds.
    :param between_tokens_s: Mean gap between tokens, in seconds.
    :param seen_s: When it was last observed, monotonic, in seconds.
    """

    first_token_s: RunningMean = field(
        default_factory=lambda: RunningMean(weight=SPEED_WEIGHT)
    )
    between_tokens_s: RunningMean = field(
        default_factory=lambda: RunningMean(weight=SPEED_WEIGHT)
    )
    seen_s: float = float("-inf")


@dataclass(kw_only=True, slots=True)
class OtherLoad:
    """What unknown holders run on one upstream.

    :param changes: The last changes of this account's own count, as pairs of
        monotonic time in seconds and count.
    :param running: Requests of others, by the last report.
    :param valid_until_s: When the report is too old, monotonic, in seconds.
    """

    changes: deque = field(default_factory=lambda: deque(maxlen=MAX_CHANGES))
    running: int = 0
    valid_until_s: float = float("-inf")


def record_speed(speed: Speed, report: WorkReport, now_s: float) -> None:
    """Take in the latency that was seen of one request.

    :param speed: The observed latency; changed in place.
    :param report: What was seen.
    :param now_s: The present monotonic time, in seconds.
    """
    if report.first_token_s is not None:
        update_mean(speed.first_token_s, report.first_token_s)
        speed.seen_s = now_s
    if report.between_tokens_s is not None:
        update_mean(speed.between_tokens_s, report.between_tokens_s)
        speed.seen_s = now_s


def estimate_latency_s(speed: Speed, typical: Speed, now_s: float) -> float:
    """Estimate how long an upstream takes for the start of an answer.

    What was seen long ago fades into what is typical, so that an upstream that
    was slow gets work again and shows whether it still is.

    :param speed: The upstream's observed latency.
    :param typical: That of the whole group.
    :param now_s: The present monotonic time, in seconds.
    :returns: Seconds to the first token and some more tokens.
    """
    typical_s = _sum_latency_s(typical, 0.0, 0.0) or DEFAULT_LATENCY_S
    if speed.first_token_s.value is None:
        return typical_s
    latency_s = _sum_latency_s(speed, 0.0, typical.between_tokens_s.value or 0.0)
    age_s = max(0.0, now_s - speed.seen_s)
    return typical_s + (latency_s - typical_s) * math.exp(-age_s / FORGET_S)


def note_own_running(load: OtherLoad, running: int, now_s: float) -> None:
    """Note a change of this account's own count of requests on an upstream.

    :param load: What is known of the upstream's load; changed in place.
    :param running: Requests that the account now knows to run.
    :param now_s: The present monotonic time, in seconds.
    """
    load.changes.append((now_s, running))


def record_other_load(
    load: OtherLoad, report: LoadReport, running: int, now_s: float
) -> None:
    """Work out from a report how much others run on an upstream.

    The report is compared with this account's own count at the time that the
    report tells of.

    :param load: What is known of the upstream's load; changed in place.
    :param report: The upstream's report.
    :param running: Requests that the account now knows to run.
    :param now_s: The present monotonic time, in seconds.
    """
    reported_s = now_s - report.age_s
    own = _read_own_running(load, running, reported_s)
    load.running = max(0, report.running + report.waiting - own)
    load.valid_until_s = reported_s + REPORT_VALID_S


def note_restored(load: OtherLoad) -> None:
    """Note that one of the others' requests is now in this account.

    :param load: What is known of the upstream's load; changed in place.
    """
    load.running = max(0, load.running - 1)


def read_other_running(load: OtherLoad, now_s: float) -> int:
    """Return how many requests others run, as far as a recent report tells.

    :param load: What is known of the upstream's load.
    :param now_s: The present monotonic time, in seconds.
    :returns: Requests.
    """
    return load.running if now_s < load.valid_until_s else 0


def _sum_latency_s(speed, default_first_s, default_between_s):
    first_s = speed.first_token_s.value
    between_s = speed.between_tokens_s.value
    first_s = default_first_s if first_s is None else first_s
    between_s = default_between_s if between_s is None else between_s
    return first_s + TOKENS_WEIGHED * between_s


def _read_own_running(load, running, at_s):
    """Return the largest own count about a time, as clocks and reports differ."""
    most = running
    for changed_s, count in reversed(load.changes):
        if changed_s > at_s + REPORT_SLACK_S:
            most = count
            continue
        most = max(most, count)
        if changed_s <= at_s - REPORT_SLACK_S:
            break
    return most
