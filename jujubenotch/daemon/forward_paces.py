"""Shares what is learned about upstreams with the instances of the data centre.

Each instance sends its own sums to the reader about every second, and the reader sends
the totals to all. Nothing is sent where no upstream reports its pace, and where the
instances don't share pages. An instance that has just started gets the next totals.
"""

import asyncio
import logging
import random
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass, field
from typing import Protocol

from jujubenotch.forwarding import (
    PaceExchange,
    describe_learned,
    list_own,
    list_short_counts,
    list_totals,
    take_own,
    take_short_counts,
    take_totals,
)
from jujubenotch.logs import log_event
from jujubenotch.membership import Instances, list_neighbours
from jujubenotch.metrics import Metrics, set_learned_capacity
from jujubenotch.neighbours import Message, MessageKind, PaceEntry
from jujubenotch.pace import SharedPace

logger = logging.getLogger(__name__)

SHARE_INTERVAL_S = 1.0
# Random part of the interval, so that instances don't all send at the same time.
INTERVAL_SPREAD = 0.2
# About 3 KB compressed, three datagrams.
MAX_ENTRIES = 60
# Bounds what is sent to each neighbour in a second. With more upstreams than fit, each
# time other ones are sent.
MAX_MESSAGES = 3
# A reader that has sent no page for this time has probably been replaced.
READER_SILENT_S = 5.0


class Pages(Protocol):
    """The exchange of pages with the neighbours."""

    neighbours: Instances

    @property
    def is_active(self) -> bool:
        """Whether pages are shared."""

    @property
    def is_reading(self) -> bool:
        """Whether this instance follows the sources by its own calls."""


@dataclass(kw_only=True)
class PaceWatch:
    """The state of sharing what is learned about upstreams.

    :param exchange: What is learned.
    :param pages: The exchange of pages; ``None`` before it is connected.
    :param send: Sends a message to the endpoints of other instances.
    :param reader: The address of the reader's endpoint; empty when unknown.
    :param reader_heard_s: When the reader was last heard, monotonic, in seconds.
    :param next_entry: The number of the entry with which the next messages begin.
    """

    exchange: PaceExchange
    metrics: Metrics
    pages: Pages | None = None
    send: Callable[[Message, Iterable[str]], bool] = lambda message, addresses: False
    reader: str = ""
    reader_heard_s: float = float("-inf")
    next_entry: int = 0
    draws: random.Random = field(default_factory=random.Random)


def connect_paces(
    watch: PaceWatch,
    pages: Pages,
    send: Callable[[Message, Iterable[str]], bool],
) -> None:
    """Connect the watch with the exchange of pages.

    :param watch: The watch; changed in place.
    :param pages: The exchange of pages.
    :param send: Sends a message to the endpoints of other instances.
    """
    watch.pages = pages
    watch.send = send


def note_reader(watch: PaceWatch, sender: str) -> None:
    """Note who is the reader, as a page or totals came from there.

    :param watch: The watch; changed in place.
    :param sender: The address of the sender's endpoint.
    """
    if sender != watch.reader:
        watch.reader = sender
    watch.reader_heard_s = asyncio.get_running_loop().time()


def receive_paces(watch: PaceWatch, sender: str, message: Message) -> None:
    """Take up what another instance sent.

    :param watch: The watch; changed in place.
    :param sender: The address of the sender's endpoint.
    :param message: The message.
    """
    now_s = asyncio.get_running_loop().time()
    entries = [SharedPace(**asdict(entry)) for entry in message.paces]
    if message.has_totals:
        note_reader(watch, sender)
        take_totals(watch.exchange, entries, now_s)
        take_short_counts(watch.exchange, message.short_counts, now_s)
    elif is_collecting(watch):
        take_own(watch.exchange, sender, entries, now_s)


def is_collecting(watch: PaceWatch) -> bool:
    """Return whether this instance adds up the figures of the others.

    :param watch: The watch.
    """
    return watch.pages is not None and watch.pages.is_active and watch.pages.is_reading


async def share_paces(watch: PaceWatch) -> None:
    """Share what is learned; runs until it is cancelled.

    :param watch: The watch; changed in place.
    """
    loop = asyncio.get_running_loop()
    while True:
        spread = INTERVAL_SPREAD * (watch.draws.random() - 0.5)
        await asyncio.sleep(SHARE_INTERVAL_S * (1 + spread))
        share_once(watch, loop.time())


def share_once(watch: PaceWatch, now_s: float) -> None:
    """Send what there is to tell, and update the metrics.

    :param watch: The watch; changed in place.
    :param now_s: The present monotonic time, in seconds.
    """
    exchange = watch.exchange
    if watch.pages is not None and watch.pages.is_active:
        if is_collecting(watch):
            entries = list_totals(exchange, now_s)
            addresses = list_neighbours(watch.pages.neighbours)
            _send_all(watch, entries, addresses, has_totals=True)
        elif watch.reader and now_s - watch.reader_heard_s < READER_SILENT_S:
            entries = list_own(exchange, now_s)
            _send_all(watch, entries, [watch.reader], has_totals=False)
    if exchange.learned.services:
        set_learned_capacity(watch.metrics, describe_learned(exchange, now_s))


def _send_all(watch, entries, addresses, *, has_totals):
    """Send as many entries as the bound allows, beginning where the last ones ended."""
    if not entries:
        return
    begin = watch.next_entry % len(entries)
    count = min(len(entries), MAX_MESSAGES * MAX_ENTRIES)
    chosen = (entries[begin:] + entries[:begin])[:count]
    watch.next_entry = begin + count if count < len(entries) else 0
    for start in range(0, count, MAX_ENTRIES):
        _send(watch, chosen[start : start + MAX_ENTRIES], addresses, has_totals)


def _send(watch, entries, addresses, has_totals):
    message = Message(
        kind=MessageKind.PACES,
        paces=tuple(PaceEntry(**asdict(entry)) for entry in entries),
        has_totals=has_totals,
        short_counts=list_short_counts(watch.exchange) if has_totals else {},
    )
    if watch.send(message, addresses):
        return
    if len(entries) > 1:
        # Long names may not fit; the halves do.
        middle = len(entries) // 2
        _send(watch, entries[:middle], addresses, has_totals)
        _send(watch, entries[middle:], addresses, has_totals)
    else:
        log_event(logger, logging.WARNING, "paces-not-sent", entries=len(entries))
