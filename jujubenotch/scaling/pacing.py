"""Bounds the number of calls to the platform's API."""

from dataclasses import dataclass

# The API's rate is shared with the other duties of the lease's holder.
RATE_SHARE = 0.5
MAX_CALLS_PER_S = 2.0
# The first orders of a change in three data centres go out together.
MAX_BURST = 6.0
MIN_PAUSE_S = 0.5
MAX_PAUSE_S = 15.0
JITTER = 0.3


@dataclass(kw_only=True)
class CallPacing:
    """How many calls may be sent; all times are in seconds.

    :param calls_per_s: The rate of calls in the mean.
    :param available: Calls that may be sent at once.
    :param updated_s: When ``available`` was last computed; ``None`` before that.
    :param paused_until_s: Until when nothing is sent after a failed call.
    :param pause_s: The length of the last pause; 0 after a call that succeeded.
    """

    calls_per_s: float = MAX_CALLS_PER_S
    available: float = MAX_BURST
    updated_s: float | None = None
    paused_until_s: float = float("-inf")
    pause_s: float = 0.0


def make_pacing(accepted_per_s: float) -> CallPacing:
    """Make the pacing for an API.

    :param accepted_per_s: Calls a second that the API accepts from all instances.
    """
    calls_per_s = min(MAX_CALLS_PER_S, RATE_SHARE * accepted_per_s)
    return CallPacing(
        calls_per_s=calls_per_s, available=min(MAX_BURST, max(1.0, calls_per_s))
    )


def count_available(pacing: CallPacing, now_s: float) -> int:
    """Return how many calls may be sent now.

    :param pacing: The pacing; changed in place.
    :param now_s: The present time, in seconds.
    """
    if pacing.updated_s is not None:
        gained = max(0.0, now_s - pacing.updated_s) * pacing.calls_per_s
        pacing.available = min(MAX_BURST, pacing.available + gained)
    pacing.updated_s = now_s
    return 0 if now_s < pacing.paused_until_s else int(pacing.available)


def record_call(pacing: CallPacing) -> None:
    """Record that a call is being sent.

    :param pacing: The pacing; changed in place.
    """
    pacing.available -= 1


def record_success(pacing: CallPacing) -> None:
    """Record that a call was executed, so that the next failure pauses shortly.

    :param pacing: The pacing; changed in place.
    """
    pacing.pause_s = 0.0


def pause_calls(pacing: CallPacing, draw: float, now_s: float) -> float:
    """Send nothing for some time after a failed call, twice as long each time.

    :param pacing: The pacing; changed in place.
    :param draw: A random number in [0, 1).
    :param now_s: The present time, in seconds.
    :returns: The pause, in seconds.
    """
    pacing.pause_s = min(MAX_PAUSE_S, max(MIN_PAUSE_S, 2 * pacing.pause_s))
    pause_s = pacing.pause_s * (1 + JITTER * draw)
    pacing.paused_until_s = now_s + pause_s
    return pause_s
