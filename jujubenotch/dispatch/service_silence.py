"""Tells a service whose upstreams are all silent from a single silent upstream."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from jujubenotch.dispatch.attempt_state import Attempt

# A single silent upstream tells nothing about the others of its service.
MIN_SILENT_UPSTREAMS = 2
# A younger request may only not have been answered yet.
MIN_WAIT_S = 0.5
# For this share of one upstream's silence, none of the others has sent anything. It is
# below 1, as upstreams that stop together sent their last events at different times.
COMMON_SHARE = 0.5


@dataclass(kw_only=True)
class ServiceSilence:
    """When an instance last heard of each service.

    :param attempts: The attempts in progress, by object identity.
    :param heard_s: The monotonic time at which an attempt that has ended last received
        something, by service, in seconds.

    >>> is_silent(ServiceSilence(), "plain", silence_s=1.5, now_s=10.0)
    False
    """

    attempts: dict[int, Attempt] = field(default_factory=dict)
    heard_s: dict[str, float] = field(default_factory=dict)


@contextmanager
def watch_attempt(silence: ServiceSilence, attempt: Attempt) -> Iterator[None]:
    """Keep an attempt in view while it is in progress.

    :param silence: What was heard; changed in place.
    :param attempt: The attempt, which has the origin of its stream.
    :returns: A context manager.
    """
    silence.attempts[id(attempt)] = attempt
    try:
        yield
    finally:
        del silence.attempts[id(attempt)]
        service = attempt.origin.service
        heard_s = max(attempt.heard_s, silence.heard_s.get(service, 0.0))
        silence.heard_s[service] = heard_s


def is_silent(
    silence: ServiceSilence, service: str, *, silence_s: float, now_s: float
) -> bool:
    """Return whether several upstreams have requests and none of them sends anything.

    :param silence: What was heard.
    :param service: The service.
    :param silence_s: How long one of the upstreams has been silent, in seconds; the
        others have been so for a share of it at least.
    :param now_s: The present monotonic time, in seconds.
    """
    attempts = [
        each for each in silence.attempts.values() if each.origin.service == service
    ]
    heard_s = [silence.heard_s.get(service, 0.0), *(each.heard_s for each in attempts)]
    if max(heard_s) > now_s - COMMON_SHARE * silence_s:
        return False
    waiting = {each.process for each in attempts if each.sent_at_s < now_s - MIN_WAIT_S}
    return len(waiting) >= MIN_SILENT_UPSTREAMS


def is_process_heard(silence: ServiceSilence, process: str, since_s: float) -> bool:
    """Return whether a process has sent something to an attempt in progress.

    :param silence: What was heard.
    :param process: The name of the process.
    :param since_s: Since when, monotonic, in seconds.
    """
    return any(
        each.process == process and each.heard_s >= since_s
        for each in silence.attempts.values()
    )
