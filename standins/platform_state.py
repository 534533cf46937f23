"""What the platform's stand-in keeps, its faults and its limits."""

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from pydantic import BaseModel, ConfigDict, Field

from jujubenotch.tables import EmbeddedPlatform, ListedInstance
from standins.journal import Journal


class PlatformFaults(BaseModel):
    """The faults in force, as set by ``POST /faults``; each defaults to none.

    :param is_down: Refuse each call with proof that nothing took effect.
    :param is_silent: Accept calls and answer none until this ends; what waits
        takes effect then.
    :param delay_s: Time added to each call.
    :param lost_reply_ratio: Share of the writes that take effect and whose
        connection is then closed without an answer.
    :param list_lag_s: Lag of the instance list; ``None`` keeps the option's.
    :param writes_per_s: Limit on writes; ``None`` keeps the option's.
    """

    model_config = ConfigDict(extra="forbid")

    is_down: bool = False
    is_silent: bool = False
    delay_s: float = Field(default=0.0, ge=0)
    lost_reply_ratio: float = Field(default=0.0, ge=0, le=1)
    list_lag_s: float | None = Field(default=None, ge=0)
    writes_per_s: float | None = Field(default=None, gt=0)


@dataclass(frozen=True, kw_only=True)
class Refused:
    """A sentinel for a write that is not taken, with its reason."""

    reason: str


@dataclass(kw_only=True)
class PlatformState:
    """All state of the platform's stand-in.

    :param list_lag_s: How far the instance list lags, in seconds.
    :param writes_per_s: Rows and objects that can be written in a second.
    :param seed: Seed of which replies are lost.
    :param journal: Where committed transactions go.
    :param published: Lists of instances with the times they were published
        at, oldest first.

    >>> PlatformState(
    ...     list_lag_s=0, writes_per_s=500, seed=1, journal=print
    ... ).published
    []
    """

    list_lag_s: float
    writes_per_s: float
    seed: int
    journal: Journal
    store: EmbeddedPlatform = field(default_factory=EmbeddedPlatform)
    faults: PlatformFaults = field(default_factory=PlatformFaults)
    answering: asyncio.Event = field(default_factory=asyncio.Event)
    published: list[tuple[float, list[ListedInstance]]] = field(default_factory=list)
    generator: random.Random = field(init=False)
    allowance: float = field(init=False)
    allowance_time_s: float = 0.0
    reads: int = 0
    writes: int = 0

    def __post_init__(self):
        self.generator = random.Random(self.seed)
        self.allowance = self.writes_per_s
        self.answering.set()


def take_writes(state: PlatformState, count: int, now_s: float) -> Refused | None:
    """Take writes from the allowance, which holds one second's worth.

    A transaction larger than that is taken when the allowance is full.

    :param state: The stand-in's state.
    :param count: Rows or objects to write.
    :param now_s: The present monotonic time, in seconds.
    :returns: A refusal when the limit is reached.
    """
    limit = state.faults.writes_per_s or state.writes_per_s
    elapsed_s = now_s - state.allowance_time_s
    state.allowance = min(limit, state.allowance + elapsed_s * limit)
    state.allowance_time_s = now_s
    if state.allowance < min(count, limit):
        return Refused(reason="write-limit")
    state.allowance -= count
    state.writes += count
    return None


def publish_instances(
    state: PlatformState, instances: Sequence[ListedInstance], now_s: float
) -> None:
    """Publish a list of instances, to be seen when the lag has passed.

    :param state: The stand-in's state.
    :param instances: The whole new list.
    :param now_s: The present monotonic time, in seconds.
    """
    state.published.append((now_s, list(instances)))


def select_instances(state: PlatformState, now_s: float) -> list[ListedInstance]:
    """Return the newest list that is old enough, else the first one.

    :param state: The stand-in's state.
    :param now_s: The present monotonic time, in seconds.
    """
    lag_s = state.faults.list_lag_s
    if lag_s is None:
        lag_s = state.list_lag_s
    for published_s, instances in reversed(state.published):
        if now_s - published_s >= lag_s:
            return instances
    return state.published[0][1] if state.published else []
