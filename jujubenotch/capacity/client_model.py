"""The requests of one instance and where their slots come from."""

import asyncio
import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from jujubenotch.admission import Grant, WorkRequest
from jujubenotch.capacity.account import Account
from jujubenotch.capacity.groups import GroupPlans


@dataclass(kw_only=True, eq=False)
class ClientEntry:
    """One request of this instance, until its slot is given back.

    :param number: Of its latest submission; each submission has its own.
    :param submitted_s: When that was, on this process's monotonic clock.
    :param is_queued: Whether the account has said that it has it.
    :param answer: Gets the grant or refusal.
    :param grant: Its slot, once it has one.
    :param started_s: Since when it has it.
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
    """One group, and where its slots come from at present.

    :param entries: Requests that wait or hold a slot, by number.
    """

    name: str
    account: Account
    entries: dict[int, ClientEntry] = field(default_factory=dict)


@dataclass(kw_only=True)
class Client:
    """The requests of this instance, changed only by the functions of ``client``.

    :param id_prefix: Starts the ids of grants; unique over all instances.
    :param read_clock_s: Reads this process's monotonic clock, in seconds.
    :param entries: Requests by the number of their latest submission.
    :param held: Requests with a slot, by the id of their grant.

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
