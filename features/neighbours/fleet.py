"""Instances of one data centre in one event loop, with a store in memory.

Messages of the instances are delivered by the event loop; any of them may be lost.
"""

import asyncio
import contextlib
import math
import random
import time
from dataclasses import dataclass, field
from types import SimpleNamespace

from jujubenotch.crashes import decode_reports
from jujubenotch.daemon.forward_crashes import CrashWatch, apply_crash_page
from jujubenotch.daemon.forward_followers import add_configuration
from jujubenotch.daemon.forward_messages import (
    receive_message,
    report_outage,
    share_page,
)
from jujubenotch.daemon.forward_observer import ForwardObserver
from jujubenotch.daemon.forward_paces import PaceWatch
from jujubenotch.daemon.forward_relay import (
    Relay,
    add_followed_source,
    choose_pause_s,
    choose_wait_s,
    make_relay,
    wait_until_due,
)
from jujubenotch.daemon.forward_state import (
    ForwardState,
    apply_upstreams,
)
from jujubenotch.forwarding import (
    ConfigurationView,
    DirectCapacity,
    HistoryLostError,
    Item,
    ListedUpstream,
    Page,
    SiteConfiguration,
    SourceError,
    follow_source,
    measure_age_s,
    read_boot_clock_s,
)
from jujubenotch.membership import add_instance
from jujubenotch.metrics import make_metrics
from jujubenotch.neighbours import (
    MessageKind,
    decode_message,
    join_datagram,
    split_message,
)
from jujubenotch.neighbours.codec import Reassembly
from jujubenotch.platform.store import KEEPALIVE_S
from jujubenotch.settings import Address, ForwarderSettings

MAX_KEY_AGE_S = 2.0
STORE_CLOCK_OFFSET_S = 1234.5
# Larger contents take a noticeable time on an instance's link, part by part.
LARGE_BYTES = 10_000
PART_S = 0.1
CONFIGURATION = "configuration"
UPSTREAMS = "upstreams"
CRASHES = "crashes"


@dataclass(kw_only=True)
class Connection:
    """A connection of one instance to the store; a silent one brings nothing."""

    used_s: float = 0.0
    is_silent: bool = False


@dataclass(kw_only=True)
class MemoryStore:
    """The rows of the tables, as ``{table: {key: (revision, content)}}``.

    Large contents take ``transfer_s``. Changes up to ``lost_revision`` are no longer in
    the history. While ``hides_changes``, calls for changes bring none.
    """

    rows: dict = field(
        default_factory=lambda: {CONFIGURATION: {}, UPSTREAMS: {}, CRASHES: {}}
    )
    revision: int = 0
    era: int = 1
    calls: int = 0
    is_down: bool = False
    turned_away: set = field(default_factory=set)
    transfer_s: float = 0.0
    lost_revision: int = 0
    hides_changes: bool = False
    cuts: int = 0
    connections: list[Connection] = field(default_factory=list)
    idle: dict[str, list[Connection]] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @contextlib.asynccontextmanager
    async def connect(self, caller):
        """Use an idle connection, as the client of the store does, or a new one."""
        idle = self.idle.setdefault(caller, [])
        now_s = time.monotonic()
        idle[:] = [each for each in idle if now_s - each.used_s < KEEPALIVE_S]
        connection = idle.pop() if idle else Connection()
        self.connections.append(connection)
        yield connection
        if connection.is_silent:
            await asyncio.Event().wait()
        connection.used_s = time.monotonic()
        idle.append(connection)

    def drop_history(self):
        """Cut all calls that wait for changes, and keep no earlier ones."""
        self.hides_changes = False
        self.lost_revision = self.revision
        self.cuts += 1
        self._wake()

    def silence_connections(self):
        for connection in self.connections:
            connection.is_silent = True
        self.connections.clear()

    def write(self, table, key, content):
        self.revision += 1
        self.rows[table][key] = (self.revision, content)
        self._wake()

    def copy(self):
        return {table: dict(rows) for table, rows in self.rows.items()}, self.revision

    def restore(self, copy):
        rows, self.revision = copy
        self.rows = {table: dict(entries) for table, entries in rows.items()}
        self.era += 1
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()


@dataclass(kw_only=True)
class MemorySource:
    """One table of the store, as one instance sees it."""

    store: MemoryStore
    table: str
    caller: str

    async def read_all(self, note_progress):
        async with self.store.connect(self.caller) as connection:
            await self._call(connection)
            page = self._make_page(0)
            await self._transfer(page, note_progress)
        return page

    async def read_changes(self, after_revision, wait_s, note_progress):
        async with self.store.connect(self.caller) as connection:
            await self._call(connection)
            page = await self._wait_for_changes(after_revision, wait_s)
            await self._transfer(page, note_progress)
        return page

    async def _wait_for_changes(self, after_revision, wait_s):
        before = (self.store.era, self.store.cuts)
        if after_revision > self.store.revision:
            raise HistoryLostError("the store has no such revision")
        if after_revision < self.store.lost_revision:
            raise HistoryLostError("the store has dropped its history")
        end_s = time.monotonic() + wait_s
        while (self.store.hides_changes or not self._find(after_revision)) and (
            left_s := end_s - time.monotonic()
        ) > 0:
            try:
                async with asyncio.timeout(left_s):
                    await self.store.changed.wait()
            except TimeoutError:
                break
            if (self.store.era, self.store.cuts) != before:
                raise SourceError("the store was restored or has cut the call")
        if self.store.hides_changes:
            return self._make_empty_page(after_revision)
        return self._make_page(after_revision)

    def make_item(self, key, content, revision):
        value = decode(self.table, key, content)
        return Item(key=key, value=value, revision=revision, content=content)

    async def _call(self, connection):
        self.store.calls += 1
        if connection.is_silent:
            await asyncio.Event().wait()
        await asyncio.sleep(0.001)
        if self.store.is_down or self.caller in self.store.turned_away:
            raise SourceError("the store does not answer")

    async def _transfer(self, page, note_progress):
        if all(len(item.content) < LARGE_BYTES for item in page.items):
            return
        end_s = time.monotonic() + self.store.transfer_s
        while (left_s := end_s - time.monotonic()) > 0:
            await asyncio.sleep(min(PART_S, left_s))
            note_progress()

    def _find(self, after_revision):
        rows = self.store.rows[self.table]
        return [
            (key, revision, content)
            for key, (revision, content) in rows.items()
            if revision > after_revision
        ]

    def _make_empty_page(self, after_revision):
        return Page(
            items=(),
            revision=after_revision,
            store_time_s=read_boot_clock_s() - STORE_CLOCK_OFFSET_S,
            era=self.store.era,
        )

    def _make_page(self, after_revision):
        found = self._find(after_revision)
        return Page(
            items=tuple(
                self.make_item(key, content, revision)
                for key, revision, content in found
            ),
            revision=self.store.revision,
            store_time_s=read_boot_clock_s() - STORE_CLOCK_OFFSET_S,
            changed_revision=max((revision for _, revision, _ in found), default=0),
            era=self.store.era,
        )


def decode(table, key, content):
    if table == CONFIGURATION:
        return SiteConfiguration(version=int(content.split()[0]))
    if table == CRASHES:
        return decode_reports(content)
    return ListedUpstream(
        name=key,
        service="drafting",
        address="127.0.0.1:1",
        data_centre="north",
        slots=4,
        is_leaving=content == b"leaving",
    )


@dataclass(kw_only=True)
class Member:
    """One instance; ``tasks`` are its followers."""

    name: str
    relay: Relay
    state: ForwardState
    crash_watch: CrashWatch
    tasks: list = field(default_factory=list)

    @property
    def age_s(self):
        return measure_age_s(self.state.freshness, read_boot_clock_s())

    @property
    def basis(self):
        return ConfigurationView(
            index=self.state.index,
            age_s=self.age_s,
            max_age_s=math.inf,
            revision=self.state.configuration_revision,
            source=self.state.configuration_source,
        ).basis


@dataclass(kw_only=True)
class Fleet:
    """The instances; a share of their messages is lost."""

    store: MemoryStore
    members: dict[str, Member] = field(default_factory=dict)
    loss_share: float = 0.0
    max_key_age_s: float = MAX_KEY_AGE_S
    cut_off: set = field(default_factory=set)
    draws: random.Random = field(default_factory=lambda: random.Random(7))

    def deliver(self, sender, receiver, message):
        if {sender, receiver} & self.cut_off or receiver not in self.members:
            return
        if self.draws.random() < self.loss_share:
            return
        receive_message(self.members[receiver].relay, sender, message)


@dataclass(kw_only=True)
class FleetEndpoint:
    """Encodes each message, and delivers it by the event loop."""

    fleet: Fleet
    own_address: str
    next_id: int = 0

    def send(self, message, addresses):
        datagrams = split_message(message, self.next_id)
        if datagrams is None:
            return False
        self.next_id += 1
        reassembly = Reassembly()
        for datagram in datagrams:
            content = join_datagram(reassembly, self.own_address, datagram, 0.0)
        # Sorted, so that a history depends on its seed alone.
        for address in sorted(addresses):
            asyncio.get_running_loop().call_soon(
                self.fleet.deliver, self.own_address, address, decode_message(content)
            )
        return True


def start_member(fleet, number):
    address = Address(host=f"10.0.0.{number}", port=7000)
    settings = ForwarderSettings(
        name=f"instance-{number}",
        data_centre="north",
        callers=address,
        readiness=address,
        store=address,
        neighbours=address,
        max_key_age_s=fleet.max_key_age_s,
        max_change_delay_s=4.0,
    )
    state = ForwardState()
    observer = ForwardObserver(metrics=make_metrics(), read_basis=lambda: None)
    capacity = DirectCapacity(
        listing=state.listing,
        read_clock_s=lambda: 0.0,
        read_listing_clock_s=lambda: 0.0,
    )
    instance = SimpleNamespace(
        settings=settings,
        state=state,
        observer=observer,
        pace_watch=PaceWatch(exchange=capacity.pace_exchange, metrics=observer.metrics),
    )
    relay = make_relay(instance)
    relay.endpoint = FleetEndpoint(fleet=fleet, own_address=address.text)
    relay.is_registering = False
    relay.neighbours.is_registered = True
    member = Member(
        name=address.text,
        relay=relay,
        state=state,
        crash_watch=CrashWatch(name=settings.name, state=state),
    )
    _follow(fleet, member)
    for other in fleet.members.values():
        add_instance(other.relay.neighbours, address.text)
        add_instance(relay.neighbours, other.name)
    fleet.members[address.text] = member
    return member


def _follow(fleet, member):
    source = MemorySource(store=fleet.store, table=CONFIGURATION, caller=member.name)
    add_configuration(member.relay, member.state, source)
    _start(member, MessageKind.CONFIGURATION)
    for kind, table, progress, apply in (
        (
            MessageKind.UPSTREAMS,
            UPSTREAMS,
            member.state.listing_progress,
            lambda update: apply_upstreams(member.state, update),
        ),
        (
            MessageKind.CRASHES,
            CRASHES,
            member.state.crash_progress,
            lambda update: apply_crash_page(member.crash_watch, update),
        ),
    ):
        source = MemorySource(store=fleet.store, table=table, caller=member.name)
        add_followed_source(member.relay, kind, source, progress, apply)
        _start(member, kind)


def _start(member, kind):
    member.tasks.append(asyncio.create_task(_run(member, kind)))


async def _run(member, kind):
    relay = member.relay
    followed = relay.followed[kind]

    def apply(update):
        followed.apply(update)
        share_page(relay, kind, update)

    await follow_source(
        followed.progress,
        followed.source,
        apply,
        lambda: choose_wait_s(relay, kind),
        choose_pause_s=lambda failures: choose_pause_s(
            relay, failures, time.monotonic()
        ),
        wait_until_due=lambda: wait_until_due(relay, kind),
        report_failure=lambda: report_outage(relay),
    )


def stop_member(fleet, name):
    member = fleet.members.pop(name)
    for task in member.tasks:
        task.cancel()


def find_readers(fleet):
    return [
        name for name, member in fleet.members.items() if member.relay.role.is_reader
    ]
