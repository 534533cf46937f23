"""The stored state, the faults and the write limit of the platform's stand-in."""

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from pydantic import BaseModel, ConfigDict, Field

from jujubenotch.tables import EmbeddedPlatformClient, InstanceListEntry
from standins.journal import Journal


class PlatformFaults(BaseModel):
    """The active faults, as set by ``POST /faults``; by default none is active.

    :param is_down: Refuse each call with a header that states that the call
        was not applied.
    :param is_silent: Accept calls but reply to none until this fault ends; the
        waiting calls are then carried out.
    :param delay_s: Time added to each call.
    :param lost_reply_ratio: Fraction of the writes that are applied and whose
        connection is then closed without a reply.
    :param list_lag_s: Lag of the instance list; ``None`` keeps the lag that the
        command line sets.
    :param writes_per_s: Limit on the writes; ``None`` keeps the limit that the
        command line sets.
    """

    model_config = ConfigDict(extra="forbid")

    is_down: bool = False
    is_silent: bool = False
    delay_s: float = Field(default=0.0, ge=0)
    lost_reply_ratio: float = Field(default=0.0, ge=0, le=1)
    list_lag_s: float | None = Field(default=None, ge=0)
    writes_per_s: float | None = Field(default=None, gt=0)


@dataclass(frozen=True, kw_only=True)
class WriteRefusal:
    """The result for a write that is refused, with the reason."""

    reason: str


@dataclass(kw_only=True)
class PlatformState:
    """The complete state of the platform's stand-in.

    :param list_lag_s: Lag of the instance list, in seconds.
    :param writes_per_s: Number of rows and objects that can be written per
        second.
    :param seed: Seed of the random choice of the replies that are lost.
    :param journal: The journal that records the committed transactions.
    :param published: Lists of instances with the times at which they were
        published, oldest first.

    >>> PlatformState(
    ...     list_lag_s=0, writes_per_s=500, seed=1, journal=print
    ... ).published
    []
    """

    list_lag_s: float
    writes_per_s: float
    seed: int
    journal: Journal
    store: EmbeddedPlatformClient = field(default_factory=EmbeddedPlatformClient)
    faults: PlatformFaults = field(default_factory=PlatformFaults)
    responses_allowed: asyncio.Event = field(default_factory=asyncio.Event)
    published: list[tuple[float, list[InstanceListEntry]]] = field(default_factory=list)
    generator: random.Random = field(init=False)
    write_tokens: float = field(init=False)
    write_tokens_updated_s: float = 0.0
    reads: int = 0
    writes: int = 0

    def __post_init__(self):
        self.generator = random.Random(self.seed)
        self.write_tokens = self.writes_per_s
        self.responses_allowed.set()


def take_write_tokens(
    state: PlatformState, count: int, now_s: float
) -> WriteRefusal | None:
    """Take writes from the token bucket that limits the writes per second.

    The bucket holds the writes of one second. A transaction with more writes than
    that is accepted when the bucket is full.

    :param state: The stand-in's state.
    :param count: Number of rows or objects to write.
    :param now_s: The current monotonic time, in seconds.
    :returns: A refusal if the limit is reached, else ``None``.
    """
    limit = state.faults.writes_per_s or state.writes_per_s
    elapsed_s = now_s - state.write_tokens_updated_s
    state.write_tokens = min(limit, state.write_tokens + elapsed_s * limit)
    state.write_tokens_updated_s = now_s
    if state.write_tokens < min(count, limit):
        return WriteRefusal(reason="write-limit")
    state.write_tokens -= count
    state.writes += count
    return None


def publish_instances(
    state: PlatformState, instances: Sequence[InstanceListEntry], now_s: float
) -> None:
    """Publish a list of instances, which readers see once the lag has passed.

    :param state: The stand-in's state.
    :param instances: The complete new list.
    :param now_s: The current monotonic time, in seconds.
    """
    state.published.append((now_s, list(instances)))


def select_instances(state: PlatformState, now_s: float) -> list[InstanceListEntry]:
    """Return the newest list that is at least as old as the lag, else the first one.

    The result is empty if no list has been published.

    :param state: The stand-in's state.
    :param now_s: The current monotonic time, in seconds.
    """
    lag_s = state.faults.list_lag_s
    if lag_s is None:
        lag_s = state.list_lag_s
    for published_s, instances in reversed(state.published):
        if now_s - published_s >= lag_s:
            return instances
    return state.published[0][1] if state.published else []
