"""The requests of one instance and the slot sources that their slots come from."""

import asyncio
import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from jujubenotch.admission import Grant, WorkRequest
from jujubenotch.capacity.groups import GroupPlans
from jujubenotch.capacity.slot_source import SlotSource


@dataclass(kw_only=True, eq=False)
class ClientEntry:
    """One request of this instance, kept until its slot is released.

    :param answer: Resolved with the grant or the refusal.
    :param number: The number of the latest submission; each submission has a
        new number.
    :param submitted_s: When the request was last submitted, on this process's
        monotonic clock.
    :param is_queued: Whether the slot source has acknowledged the request.
    :param grant: The granted slot; ``None`` while the request waits.
    :param started_s: When the grant reached this instance, on the same clock.
    """

    request: WorkRequest
    group: str
    answer: asyncio.Future
    number: int = 0
    submitted_s: float = 0.0
    is_queued: bool = False
    grant: Grant | None = None
    started_s: float = 0.0


@dataclass(kw_only=True)
class ClientGroup:
    """One group and the slot source that its slots currently come from.

    :param entries: The requests that wait or hold a slot, by number.
    """

    name: str
    source: SlotSource
    entries: dict[int, ClientEntry] = field(default_factory=dict)


@dataclass(kw_only=True)
class Client:
    """The requests of this instance; modified only by the module ``client``.

    :param id_prefix: The prefix of grant ids; unique across all instances.
    :param read_clock_s: Reads this process's monotonic clock, in seconds.
    :param plans: The groups of this data centre.
    :param groups: The groups and their slot sources, by group name.
    :param entries: The requests by the number of their latest submission.
    :param held: The requests that hold a slot, by the id of their grant.
    :param numbers: The numbers for the next submissions.

    >>> Client(id_prefix="a/1", read_clock_s=time.monotonic).groups
    {}
    """

    id_prefix: str
    read_clock_s: Callable[[], float]
    plans: GroupPlans = field(default_factory=GroupPlans)
    groups: dict[str, ClientGroup] = field(default_factory=dict)
    entries: dict[int, ClientEntry] = field(default_factory=dict)
    held: dict[str, ClientEntry] = field(default_factory=dict)
    numbers: Iterator[int] = field(default_factory=lambda: itertools.count(1))
    is_closed: bool = False
