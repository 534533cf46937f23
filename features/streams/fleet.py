"""Instances that share what they know of streams, in virtual time.

The instances run the code of the daemon; the messages between them, the list of
upstreams, the callers and the faults are drawn.
"""

import asyncio
import functools
import random
import selectors
from dataclasses import dataclass, field
from types import SimpleNamespace
from unittest import mock

from jujubenotch.daemon import (
    forward_list_checks,
    forward_origins,
    forward_records,
    forward_registered,
    forward_stream_messages,
    forward_streams,
)
from jujubenotch.daemon.forward_instances import keep_addresses, keep_asking
from jujubenotch.daemon.forward_origins import find_stream_origin
from jujubenotch.daemon.forward_parts import InstanceCount
from jujubenotch.daemon.forward_records import find_held, keep_records
from jujubenotch.daemon.forward_registered import keep_registrations
from jujubenotch.daemon.forward_state import ForwardState
from jujubenotch.daemon.forward_stream_messages import (
    receive_streams,
    send_origins,
)
from jujubenotch.daemon.forward_streams import (
    StreamWatch,
    record_listing,
    record_stream_start,
)
from jujubenotch.dispatch import Call
from jujubenotch.forwarding import (
    DirectCapacity,
    HostRoute,
    Item,
    ListedUpstream,
    Page,
    RouteKind,
    ServiceShare,
    SiteConfiguration,
    SourceError,
    apply_items,
    build_index,
)
from jujubenotch.membership import Instances, ListedInstance, record_heard
from jujubenotch.outcomes import Refusal
from jujubenotch.records import ServiceClass, Team
from jujubenotch.streams import (
    BatchName,
    StreamObjects,
    StreamOrigin,
    VersionRecord,
    VersionRegistration,
)
from jujubenotch.work import WorkReport, WorkRequest, WorkResult

SERVICE = "drafting"
TIMEOUT_S = 5.0
UNIX_S = 1_700_000_000.0
CONFIRM_PAUSE_S = 1.0
TRANSIT_S = (0.001, 0.02)
START_PAUSE_S = 1.5
HANGING_CALL_S = 10.0
# Of the callers that come back, to instances that are out of step.
OUT_OF_STEP_SHARE = 0.5
STEP_S = (1.0, 6.0)
# Until an instance that stood still has received what was sent meanwhile.
CATCH_UP_S = (0.02, 0.2)
MAX_ATTEMPTS = 4
INCARNATION = "0123456789abcdef"


class VirtualSelector(selectors.SelectSelector):
    """Advances the time instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        assert timeout is not None, "nothing is left to happen"
        self.now_s += max(0.0, timeout)
        return super().select(0)


@dataclass(frozen=True, kw_only=True)
class Plan:
    """What is drawn in a history; times in seconds.

    ``rollouts`` are times of a change to the next version, in upstreams a second.
    ``isolations`` and ``pauses`` are how often one or two instances are cut off from the
    store and from all others, or stand still, for 1 to 6 s at a time around a rollout.
    ``power_losses`` are times at which all instances end at once. ``store_faults`` are
    spans in which no call to the store succeeds, ``restores`` times and ages of copies.
    ``first_kill_s`` is when the first instances and upstreams are killed where no version
    comes. ``is_earlier`` tells whether an instance of an earlier release is listed, and
    ``replaced_at_s`` when all upstreams end at once and others of the next version take
    their places and names. ``replaced_instances`` are listed, and gone for good.
    """

    instances: int
    upstreams: int
    streams_per_s: float
    length_s: float = 24.0
    versions: tuple = ("v1", "v2")
    rollouts: tuple = (6.0,)
    pace_s: float = 0.4
    upstream_kills: int = 3
    instance_kills: int = 0
    loss: float = 0.01
    list_delay_s: float = 0.4
    cut_share: float = 0.0
    isolations: int = 0
    pauses: int = 0
    knows_origins: bool = True
    power_losses: tuple = ()
    named_share: float = 1.0
    first_start_s: float = -600.0
    store_faults: tuple = ()
    restores: tuple = ()
    first_kill_s: float = 3.0
    is_earlier: bool = False
    replaced_at_s: tuple = ()
    replaced_instances: int = 0


@dataclass(kw_only=True)
class Upstream:
    name: str
    version: str
    started_s: float
    is_listed: bool = True
    is_up: bool = True


@dataclass(kw_only=True)
class Instance:
    name: str
    address: str
    watch: StreamWatch | None = None
    capacity: DirectCapacity | None = None
    tasks: list = field(default_factory=list)
    is_up: bool = True
    is_cut: bool = False
    is_isolated: bool = False
    runs_from_s: float = 0.0


@dataclass(kw_only=True)
class Counts:
    begun: int = 0
    not_begun: int = 0
    taken_up: int = 0
    gone_on: int = 0
    unnamed: int = 0
    unnamed_gone_on: int = 0
    mixed: int = 0
    messages: int = 0
    store_calls: int = 0
    registrations: int = 0
    list_reads: int = 0
    objects_left: int = 0
    registered: set = field(default_factory=set)


@dataclass(kw_only=True)
class Store:
    """The objects of the store, and whether an upstream has left the list."""

    objects: dict = field(default_factory=dict)
    era: int = 0
    revision: int = 0
    has_lost_upstreams: bool = False


@dataclass(kw_only=True)
class InstanceStore:
    """The store as one instance reaches it; a call takes 25 ms."""

    fleet: "Fleet"
    instance: "Instance"

    async def _call(self):
        self.fleet.counts.store_calls += 1
        return await self._answer()

    async def _answer(self):
        await asyncio.sleep(HANGING_CALL_S if self.instance.is_isolated else 0.025)
        now_s = self.fleet.now_s()
        if self.instance.is_cut or any(
            from_s <= now_s < until_s
            for from_s, until_s in self.fleet.plan.store_faults
        ):
            raise SourceError("the store doesn't answer")
        return self.fleet.store

    async def read_list(self):
        """Return all entries of the list, as the changes since any revision."""
        self.fleet.counts.list_reads += 1
        store = await self._answer()
        return Page(
            items=_make_items(self.fleet),
            revision=store.revision,
            store_time_s=self.fleet.now_s(),
            era=store.era,
        )

    async def list_objects(self):
        objects = (await self._call()).objects
        return StreamObjects(
            records=tuple(each for each in objects if isinstance(each, VersionRecord)),
            batches=tuple(each for each in objects if isinstance(each, BatchName)),
            registrations=tuple(
                each for each in objects if isinstance(each, VersionRegistration)
            ),
        )

    async def write_record(self, record):
        (await self._call()).objects[record] = {}

    async def write_registration(self, registration):
        (await self._call()).objects[registration] = {}
        self.fleet.counts.registrations += 1

    async def write_batch(self, name, origins):
        (await self._call()).objects[name] = dict(origins)

    async def read_batch(self, name):
        return (await self._call()).objects[name]

    async def remove(self, identity):
        (await self._call()).objects.pop(identity, None)

    async def has_lost_upstreams(self):
        return (await self._call()).has_lost_upstreams


@dataclass(kw_only=True)
class Fleet:
    plan: Plan
    loop: asyncio.AbstractEventLoop
    draws: random.Random
    instances: list = field(default_factory=list)
    by_address: dict = field(default_factory=dict)
    gone: list = field(default_factory=list)
    upstreams: dict = field(default_factory=dict)
    counts: Counts = field(default_factory=Counts)
    store: Store = field(default_factory=Store)
    numbers: int = 0
    tasks: set = field(default_factory=set)

    def now_s(self):
        return self.loop.time()


def play(plan, seed):
    selector = VirtualSelector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now_s
    clock = SimpleNamespace(
        time=lambda: UNIX_S + selector.now_s, monotonic=lambda: selector.now_s
    )
    with (
        mock.patch.object(forward_streams, "read_boot_clock_s", loop.time),
        mock.patch.object(forward_stream_messages, "read_boot_clock_s", loop.time),
        mock.patch.object(forward_origins, "read_boot_clock_s", loop.time),
        mock.patch.object(forward_origins, "time", clock),
        mock.patch.object(forward_list_checks, "read_boot_clock_s", loop.time),
        mock.patch.object(forward_records, "read_boot_clock_s", loop.time),
        mock.patch.object(forward_records, "time", clock),
        mock.patch.object(forward_records, "random", random.Random(seed)),
        mock.patch.object(forward_registered, "read_boot_clock_s", loop.time),
        mock.patch.object(forward_registered, "random", random.Random(seed)),
    ):
        fleet = Fleet(plan=plan, loop=loop, draws=random.Random(seed))
        loop.run_until_complete(_play(fleet))
    loop.close()
    fleet.counts.objects_left = sum(
        not isinstance(each, VersionRegistration) for each in fleet.store.objects
    )
    fleet.counts.registered = {
        each.software_version
        for each in fleet.store.objects
        if isinstance(each, VersionRegistration)
    }
    return fleet.counts


async def _play(fleet):
    plan = fleet.plan
    fleet.gone = _make_gone(fleet)
    for number in range(plan.upstreams):
        name = f"{plan.versions[0]}-{number}"
        _start_upstream(fleet, name, plan.versions[0], plan.first_start_s)
    for number in range(plan.instances):
        instance = Instance(
            name=f"e-{number}", address=f"10.0.{number // 250}.{number % 250}:1"
        )
        fleet.instances.append(instance)
        fleet.by_address[instance.address] = instance
        _start_instance(fleet, instance)
    _start(fleet, _confirm(fleet))
    _start(fleet, _send_streams(fleet))
    for number, at_s in enumerate(plan.rollouts, 1):
        _start(fleet, _roll_out(fleet, plan.versions[number], at_s))
    for number, at_s in enumerate(plan.replaced_at_s, 1):
        _start(fleet, _replace_upstreams(fleet, plan.versions[number], at_s))
    _start(fleet, _kill_upstreams(fleet))
    _start(fleet, _kill_instances(fleet))
    _start(fleet, _cut_instances(fleet))
    for _ in range(plan.isolations):
        _start(fleet, _isolate(fleet))
    for _ in range(plan.pauses):
        _start(fleet, _pause(fleet))
    for at_s in plan.power_losses:
        _start(fleet, _lose_power(fleet, at_s))
    for at_s, age_s in plan.restores:
        _start(fleet, _restore_store(fleet, at_s, age_s))
    await asyncio.sleep(plan.length_s + 2 * TIMEOUT_S)
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _start(fleet, coroutine):
    task = asyncio.ensure_future(coroutine)
    fleet.tasks.add(task)
    task.add_done_callback(fleet.tasks.discard)
    return task


def _start_instance(fleet, instance):
    state = ForwardState()
    route = HostRoute(
        name="r",
        host="h",
        prefix="/",
        kind=RouteKind.STREAM,
        shares=(ServiceShare(service=SERVICE),),
        timeout_s=TIMEOUT_S,
        target_s=1.0,
        is_resumable=True,
    )
    state.index = build_index(SiteConfiguration(version=1, routes=(route,)))
    neighbours = Instances(own_address=instance.address)
    instance.is_up = True
    instance.watch = StreamWatch(
        state=state,
        neighbours=neighbours,
        send=lambda message, addresses: _send(fleet, instance, message, addresses),
        store=InstanceStore(fleet=fleet, instance=instance),
    )
    instance.watch.read_unseen = instance.watch.store.read_list
    instance.capacity = DirectCapacity(
        listing=state.listing,
        read_clock_s=fleet.loop.time,
        read_listing_clock_s=fleet.loop.time,
        draw=fleet.draws.random,
        find_held_versions=functools.partial(find_held, instance.watch),
    )
    _apply_list(fleet, instance, instance.watch)
    _confirm_one(fleet, instance)
    relay = SimpleNamespace(
        instance=SimpleNamespace(
            stream_watch=instance.watch,
            incarnation=INCARNATION,
            instance_count=InstanceCount(),
            settings=SimpleNamespace(data_centre="a"),
        ),
        shares_pages=False,
        must_ask=asyncio.Event(),
        neighbours=neighbours,
        endpoint=SimpleNamespace(send=instance.watch.send),
    )
    components = SimpleNamespace(
        directory=SimpleNamespace(list_instances=lambda: _list_instances(fleet))
    )
    instance.tasks = [
        _start(fleet, send_origins(instance.watch)),
        _start(fleet, keep_records(instance.watch)),
        _start(fleet, keep_registrations(instance.watch)),
        _start(fleet, keep_addresses(relay, components)),
        _start(fleet, keep_asking(relay)),
    ]


def _make_gone(fleet):
    """Make the instances that were replaced before, whose entries are still listed."""
    return [
        Instance(name=f"old-{number}", address=f"10.9.0.{number}:1")
        for number in range(fleet.plan.replaced_instances)
    ]


async def _list_instances(fleet):
    await asyncio.sleep(0.025)
    return tuple(
        ListedInstance(
            data_centre="a",
            address=each.address,
            incarnation="" if fleet.plan.is_earlier and not number else INCARNATION,
        )
        for number, each in enumerate((*fleet.instances, *fleet.gone))
    )


def _send(fleet, sender, message, addresses):
    for address in addresses:
        fleet.counts.messages += 1
        if fleet.draws.random() < fleet.plan.loss:
            continue
        receiver = fleet.by_address.get(address)
        if receiver is None or sender.is_isolated or receiver.is_isolated:
            continue
        delay_s = fleet.draws.uniform(*TRANSIT_S) + _find_rest_s(fleet, receiver)
        fleet.loop.call_later(delay_s, _receive, sender, receiver, message)


def _find_rest_s(fleet, instance):
    """Return for how long an instance still stands still, and catches up."""
    rest_s = instance.runs_from_s - fleet.now_s()
    return rest_s + fleet.draws.uniform(*CATCH_UP_S) if rest_s > 0 else 0.0


def _receive(sender, receiver, message):
    if receiver.is_up:
        neighbours = receiver.watch.neighbours
        record_heard(
            neighbours, sender.address, now_s=asyncio.get_running_loop().time()
        )
        receive_streams(receiver.watch, sender.address, message)


def _start_upstream(fleet, name, version, started_s):
    fleet.upstreams[name] = Upstream(name=name, version=version, started_s=started_s)
    _publish(fleet)


def _publish(fleet):
    """Tell the list to all instances, each after a delay of its own."""
    fleet.store.revision += 1
    for instance in fleet.instances:
        if not instance.is_cut:
            delay_s = fleet.draws.uniform(0.05, fleet.plan.list_delay_s)
            fleet.loop.call_later(delay_s, _apply_list, fleet, instance, instance.watch)


def _apply_list(fleet, instance, watch):
    if instance.watch is not watch or instance.is_cut:
        return
    rest_s = _find_rest_s(fleet, instance)
    if rest_s:
        fleet.loop.call_later(rest_s, _apply_list, fleet, instance, watch)
        return
    apply_items(
        watch.state.listing,
        _make_items(fleet),
        is_snapshot=True,
        follows_outage=False,
        now_s=fleet.now_s(),
    )
    watch.state.listing_progress.revision = fleet.store.revision
    record_listing(watch)


def _make_items(fleet):
    return tuple(
        Item(
            key=each.name,
            value=ListedUpstream(
                name=each.name,
                service=SERVICE,
                address="127.0.0.1:1",
                data_centre="a",
                slots=48,
                started_ms=int((UNIX_S + each.started_s) * 1000),
                software_version=each.version,
            ),
        )
        for each in fleet.upstreams.values()
        if each.is_listed
    )


async def _confirm(fleet):
    while True:
        for instance in fleet.instances:
            _confirm_one(fleet, instance)
        await asyncio.sleep(CONFIRM_PAUSE_S)


def _confirm_one(fleet, instance):
    if not instance.is_cut and not _find_rest_s(fleet, instance):
        now_s = fleet.now_s()
        instance.watch.state.revisions.unattributed = fleet.store.revision
        freshness = instance.watch.state.freshness
        freshness.offset_s = 0.0
        freshness.offset_since_s = now_s
        freshness.store_s = freshness.confirmed_s = now_s
        freshness.era = fleet.store.era


async def _roll_out(fleet, version, at_s):
    """Start upstreams of a version, and let as many of the others leave, in turn."""
    await asyncio.sleep(at_s)
    old = [each for each in fleet.upstreams.values() if each.is_listed]
    for number, leaving in enumerate(old):
        name = f"{version}-{number}-{at_s}"
        _start_upstream(fleet, name, version, fleet.now_s())
        await asyncio.sleep(fleet.plan.pace_s)
        leaving.is_listed = False
        fleet.store.has_lost_upstreams = True
        _publish(fleet)
        fleet.loop.call_later(2.0, _end_upstream, leaving)


def _end_upstream(upstream):
    upstream.is_up = False


async def _kill_upstreams(fleet):
    plan = fleet.plan
    first_s = plan.rollouts[0] if plan.rollouts else plan.first_kill_s
    for _ in range(plan.upstream_kills):
        await asyncio.sleep(first_s + fleet.draws.uniform(0.0, 2.0))
        first_s = 0.5
        up = [
            each for each in fleet.upstreams.values() if each.is_up and each.is_listed
        ]
        versions = {each.version for each in up}
        for version in versions:
            upstream = fleet.draws.choice(
                [each for each in up if each.version == version]
            )
            upstream.is_up = False
            fleet.loop.call_later(3.0, _unlist, fleet, upstream)


def _unlist(fleet, upstream):
    upstream.is_listed = False
    fleet.store.has_lost_upstreams = True
    _publish(fleet)
    _start_upstream(fleet, f"{upstream.name}+", upstream.version, fleet.now_s())


async def _kill_instances(fleet):
    plan = fleet.plan
    first_s = plan.rollouts[0] if plan.rollouts else plan.first_kill_s + 4.0
    for _ in range(fleet.plan.instance_kills):
        await asyncio.sleep(first_s + fleet.draws.uniform(0.2, 2.0))
        first_s = 0.0
        instance = fleet.draws.choice(fleet.instances)
        if not instance.is_up:
            continue
        instance.is_up = False
        for task in instance.tasks:
            task.cancel()
        fleet.loop.call_later(START_PAUSE_S, _start_instance, fleet, instance)


async def _lose_power(fleet, at_s):
    """End all instances at once; they start again."""
    await asyncio.sleep(at_s)
    for instance in fleet.instances:
        if not instance.is_up:
            continue
        instance.is_up = False
        for task in instance.tasks:
            task.cancel()
        delay_s = START_PAUSE_S + fleet.draws.uniform(0.0, 0.5)
        fleet.loop.call_later(delay_s, _start_instance, fleet, instance)


async def _restore_store(fleet, at_s, age_s):
    """Restore the objects from a copy; instances learn the era within some seconds."""
    await asyncio.sleep(at_s - age_s)
    copy = dict(fleet.store.objects)
    await asyncio.sleep(age_s)
    fleet.store.objects = copy
    fleet.store.era += 1


async def _replace_upstreams(fleet, version, at_s):
    """End all upstreams at once; those of a version take their places and names."""
    await asyncio.sleep(at_s)
    for upstream in list(fleet.upstreams.values()):
        upstream.is_up = False
        if upstream.is_listed:
            _start_upstream(fleet, upstream.name, version, fleet.now_s())


async def _cut_instances(fleet):
    """Cut instances off from the store just before each rollout."""
    count = int(fleet.plan.cut_share * len(fleet.instances))
    for at_s in fleet.plan.rollouts[:1]:
        await asyncio.sleep(at_s - 0.2)
        for instance in fleet.draws.sample(fleet.instances, count):
            instance.is_cut = True
        await asyncio.sleep(6.0)
        for instance in fleet.instances:
            instance.is_cut = False
        _publish(fleet)


async def _isolate(fleet):
    """Cut one or two instances off from the store and from all others."""
    instances = await _draw_out_of_step(fleet)
    for instance in instances:
        instance.is_cut = instance.is_isolated = True
    await asyncio.sleep(fleet.draws.uniform(*STEP_S))
    for instance in instances:
        instance.is_cut = instance.is_isolated = False
    _publish(fleet)


async def _pause(fleet):
    """Let one or two instances stand still."""
    for instance in await _draw_out_of_step(fleet):
        duration_s = fleet.draws.uniform(*STEP_S)
        instance.runs_from_s = fleet.now_s() + duration_s


async def _draw_out_of_step(fleet):
    plan = fleet.plan
    rollout_s = plan.pace_s * plan.upstreams
    await asyncio.sleep(plan.rollouts[0] + fleet.draws.uniform(-1.0, rollout_s))
    return fleet.draws.sample(fleet.instances, fleet.draws.choice((1, 2)))


async def _send_streams(fleet):
    while fleet.now_s() < fleet.plan.length_s:
        await asyncio.sleep(fleet.draws.expovariate(fleet.plan.streams_per_s))
        _start(fleet, _read_stream(fleet))


async def _read_stream(fleet):
    """Read one stream as a caller does, who comes back once after a break."""
    fleet.numbers += 1
    first_id = f"s-{fleet.numbers}"
    instance = _choose_instance(fleet, None)
    if instance is None:
        return
    begun = await _run(fleet, instance, _make_call(first_id, ""), None)
    if begun is None:
        fleet.counts.not_begun += 1
        return
    fleet.counts.begun += 1
    version, is_whole = begun
    if is_whole:
        return
    other = await _find_other(fleet, instance)
    if other is None:
        return
    serving = sum(
        each.is_up and each.is_listed and each.version == version
        for each in fleet.upstreams.values()
    )
    is_named = fleet.draws.random() < fleet.plan.named_share
    rest = await _take_up(fleet, other, first_id if is_named else "")
    if rest is not None and rest[0] != version:
        fleet.counts.mixed += 1
    if serving >= 2 and not other.is_cut:
        if is_named:
            fleet.counts.taken_up += 1
            fleet.counts.gone_on += rest is not None
        else:
            fleet.counts.unnamed += 1
            fleet.counts.unnamed_gone_on += rest is not None


async def _find_other(fleet, instance):
    """Wait as a caller does that comes back: for longer if no instance answers."""
    await asyncio.sleep(fleet.draws.uniform(0.01, 0.5))
    if fleet.plan.power_losses:
        # A caller may come back up to the longest stream later.
        await asyncio.sleep(fleet.draws.uniform(0.0, TIMEOUT_S - 0.5))
        return _choose_instance(fleet, None)
    out_of_step = [
        each
        for each in fleet.instances
        if each is not instance and (each.is_isolated or _is_paused(fleet, each))
    ]
    if out_of_step and fleet.draws.random() < OUT_OF_STEP_SHARE:
        return fleet.draws.choice(out_of_step)
    return _choose_instance(fleet, instance)


def _is_paused(fleet, instance):
    return fleet.now_s() < instance.runs_from_s


async def _wait_while_paused(fleet, instance):
    """Wait until an instance runs, which then serves callers first."""
    await asyncio.sleep(max(0.0, instance.runs_from_s - fleet.now_s()))


async def _take_up(fleet, instance, first_id):
    await _wait_while_paused(fleet, instance)
    fleet.numbers += 1
    call = _make_call(f"s-{fleet.numbers}", first_id, is_resumed=True)
    origin = None
    if fleet.plan.knows_origins:
        origin = await find_stream_origin(instance.watch, call)
        if isinstance(origin, Refusal):
            return None
    return await _run(fleet, instance, call, origin)


def _choose_instance(fleet, but):
    up = [each for each in fleet.instances if each.is_up and each is not but]
    return fleet.draws.choice(up) if up else None


async def _run(fleet, instance, call, origin):
    """Run a stream; return its version and whether it is whole, or ``None``."""
    await _wait_while_paused(fleet, instance)
    excluded = set()
    # The same upstream may be chosen again if the others are held.
    for _ in range(MAX_ATTEMPTS):
        grant = await instance.capacity.acquire(_make_request(call, origin, excluded))
        if isinstance(grant, Refusal):
            return None
        upstream = fleet.upstreams[grant.upstream]
        if upstream.is_up:
            break
        _release(fleet, instance, grant, WorkResult.CONNECT_FAILED)
        excluded.add(upstream.name)
    else:
        return None
    watch = instance.watch
    await asyncio.sleep(0.02)
    begun = origin or StreamOrigin(
        service=SERVICE, software_version=grant.software_version
    )
    record_stream_start(watch, call, begun)
    end_s = fleet.now_s() + fleet.draws.uniform(0.2, 3.0)
    while fleet.now_s() < end_s:
        await asyncio.sleep(0.05)
        if not upstream.is_up or instance.watch is not watch or not instance.is_up:
            _release(fleet, instance, grant, WorkResult.LOST)
            return upstream.version, False
    _release(fleet, instance, grant, WorkResult.COMPLETED)
    return upstream.version, True


def _release(fleet, instance, grant, result):
    if grant.grant_id in instance.capacity._outstanding:
        instance.capacity.release(grant, WorkReport(result=result), fleet.now_s())


def _make_call(request_id, resumed_id, is_resumed=False):
    return Call(
        request_id=request_id,
        target=SERVICE,
        team=Team(name="agents"),
        service_class=ServiceClass(
            name="r", tier=0, first_token_target_s=1.0, deadline_s=TIMEOUT_S
        ),
        method="POST",
        path="/",
        headers=(),
        body=b"",
        arrived_s=0.0,
        services=frozenset({SERVICE}),
        is_stream=True,
        can_resume_elsewhere=True,
        resume_after_event_id="3" if is_resumed else "",
        resumed_request_id=resumed_id,
    )


def _make_request(call, origin, excluded):
    return WorkRequest(
        request_id=call.request_id,
        target=SERVICE,
        team="agents",
        team_weight=1.0,
        team_limit=0,
        service_class="r",
        tier=0,
        arrived_s=0.0,
        first_token_by_s=1.0,
        deadline_s=TIMEOUT_S,
        max_wait_s=1.0,
        expected_tokens=10,
        excluded_upstreams=frozenset(excluded),
        software_version=origin.software_version if origin else None,
        is_resumable=True,
    )
