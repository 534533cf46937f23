"""The load report of an upstream's stand-in, which can be made to lag."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from standins.faults import FaultState

SAMPLE_INTERVAL_S = 0.05
MAX_SAMPLES = 2400


@dataclass(frozen=True, kw_only=True)
class LoadSample:
    """The load at one point in time, on the process's monotonic clock."""

    time_s: float
    running: int
    waiting: int


@dataclass(kw_only=True)
class LoadHistory:
    """Samples of the load, oldest first.

    :param lag_s: Minimum age of the sample that a report shows, in seconds.
    :param slots: Number of requests that the stand-in can run at once.

    >>> LoadHistory(lag_s=2.0, slots=16).samples
    deque([], maxlen=2400)
    """

    lag_s: float
    slots: int
    samples: deque[LoadSample] = field(
        default_factory=lambda: deque(maxlen=MAX_SAMPLES)
    )


def select_sample(history: LoadHistory, lag_s: float, now_s: float) -> LoadSample:
    """Return the newest sample of at least the given age, or else the oldest one.

    :param history: The past samples, of which there is at least one.
    :param lag_s: The minimum age of the sample, in seconds.
    :param now_s: The current monotonic time, in seconds.
    """
    for sample in reversed(history.samples):
        if now_s - sample.time_s >= lag_s:
            return sample
    return history.samples[0]


def make_report(
    history: LoadHistory, state: FaultState, current: LoadSample
) -> dict[str, float | bool]:
    """Make the load report.

    ``is_leaving`` does not lag, because the stand-in decides it and does not
    measure it.

    :param history: The past samples.
    :param state: The active faults.
    :param current: The current load, which is reported when the lag is 0.
    :returns: The fields of the report.
    """
    faults = state.faults
    lag_s = history.lag_s if faults.load_lag_s is None else faults.load_lag_s
    sample = current
    if lag_s > 0 and history.samples:
        sample = select_sample(history, lag_s, current.time_s)
    report = {
        "running": sample.running,
        "waiting": sample.waiting,
        "slots": history.slots,
        "is_leaving": faults.is_leaving,
        "age_s": round(current.time_s - sample.time_s, 3),
    }
    return {**report, **(faults.load_report or {})}


async def sample_load(
    history: LoadHistory, read_current: Callable[[], LoadSample]
) -> None:
    """Sample the load until cancelled.

    :param history: The history that the samples are added to.
    :param read_current: Returns the current load.
    """
    while True:
        history.samples.append(read_current())
        await asyncio.sleep(SAMPLE_INTERVAL_S)
