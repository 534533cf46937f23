"""The load report of an upstream's stand-in, as old as it is told to be."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from standins.faults import FaultState

SAMPLE_INTERVAL_S = 0.05
MAX_SAMPLES = 2400


@dataclass(frozen=True, kw_only=True)
class LoadSample:
    """The load at one moment, on the process's monotonic clock."""

    time_s: float
    running: int
    waiting: int


@dataclass(kw_only=True)
class LoadHistory:
    """Samples of the load, oldest first.

    :param lag_s: Age of the sample that a report is made from, in seconds.
    :param slots: Requests that the stand-in can run at once.

    >>> LoadHistory(lag_s=2.0, slots=16).samples
    deque([], maxlen=2400)
    """

    lag_s: float
    slots: int
    samples: deque[LoadSample] = field(
        default_factory=lambda: deque(maxlen=MAX_SAMPLES)
    )


def select_sample(history: LoadHistory, lag_s: float, now_s: float) -> LoadSample:
    """Select the newest sample that is old enough, else the oldest.

    :param history: At least one sample.
    :param lag_s: The least age, in seconds.
    :param now_s: The present monotonic time, in seconds.
    """
    for sample in reversed(history.samples):
        if now_s - sample.time_s >= lag_s:
            return sample
    return history.samples[0]


def make_report(
    history: LoadHistory, state: FaultState, current: LoadSample
) -> dict[str, float | bool]:
    """Make the load report.

    Whether the stand-in is leaving is its own decision, not a measurement, so
    it does not lag.

    :param history: Past samples.
    :param state: The faults in force.
    :param current: The load at present, reported when there is no lag.
    :returns: The report's fields.
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


async def sample_load(history: LoadHistory, read: Callable[[], LoadSample]) -> None:
    """Sample the load until cancelled.

    :param history: Where samples go.
    :param read: Reads the present load.
    """
    while True:
        history.samples.append(read())
        await asyncio.sleep(SAMPLE_INTERVAL_S)
