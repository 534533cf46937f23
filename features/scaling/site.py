"""A platform, a lease and callers' demand, in a small loop without a network."""

import asyncio
import math
import random
from contextlib import ExitStack
from dataclasses import dataclass
from types import SimpleNamespace
from unittest.mock import patch

from jujubenotch.daemon import forward_orders, forward_scaling
from jujubenotch.daemon.forward_orders import ScalingWatch
from jujubenotch.daemon.forward_scaling import end_scaling, run_cycle
from jujubenotch.daemon.forward_state import ForwardState
from jujubenotch.forwarding import (
    EngineLimits,
    KnownUpstream,
    ListedUpstream,
    Service,
    ServiceScaling,
    SiteConfiguration,
    build_index,
)
from jujubenotch.leases import ApiResult
from jujubenotch.metrics import make_metrics
from jujubenotch.scaling import CapacityKind, OrderKey, make_pacing
from jujubenotch.usage import ServiceDemand

SERVICE = "drafting"
SLOTS = 12
PRICES = {"north": 0.85, "south": 1.2, "west": 1.0}
INITIAL = {"north": 19, "south": 19, "west": 18}
BOOT_S = 4.0
STEP_S = 0.25
LEAVING_S = 3.0
STREAM_S = 2.0
MAX_UPSTREAMS = 40
PATCHED = {
    forward_scaling: ("find_token",),
    forward_orders: (
        "find_token",
        "find_call_timeout_s",
        "refresh_token",
        "write_records",
    ),
}


@dataclass(kw_only=True)
class Machine:
    key: OrderKey
    ready_s: float
    ends_s: float = math.inf


@dataclass(kw_only=True)
class Call:
    at_s: float
    key: OrderKey
    count: int
    before: int
    token: int
    result: ApiResult


@dataclass(kw_only=True)
class Step:
    at_s: float
    demand: float
    room: float
    cost: float
    orders: int


class Site:
    """Runs cycles of one holder at a time; times are in seconds from the start."""

    def __init__(self, seed, *, max_upstreams=MAX_UPSTREAMS, min_upstreams=4):
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.machines = {}
        self.desired = {}
        self.unavailable_until_s = {}
        self.calls, self.steps = [], []
        self.demand = lambda now_s: 500.0
        self.result = lambda key, count: ApiResult.DONE
        self.executes_unanswered = True
        self.instances = 28
        self.demand_age_s = 0.5
        self.list_age_s = 0.5
        self.begins_s = 0.0
        self.token, self.highest_token = 1, 0
        self.refreshes = []
        self.records, self.first_records = {}, {}
        self.era = 0
        self.cut_place = None
        self.silent_place = None
        self.scaling = ServiceScaling(
            min_upstreams=min_upstreams,
            max_upstreams=max_upstreams,
            boot_s=BOOT_S,
            preemptible_price=0.22,
            data_centre_prices=PRICES,
        )
        for place, count in INITIAL.items():
            key = self.make_key(place, CapacityKind.STANDARD)
            self.desired[key] = count
            self._start(key, count, boot_s=0.0)
        self.watch = self._make_watch()

    @staticmethod
    def make_key(place, kind):
        return OrderKey(service=SERVICE, data_centre=place, kind=kind)

    def _make_watch(self):
        service = Service(
            name=SERVICE,
            engine=EngineLimits(slots=SLOTS, cache_tokens=1),
            scaling=self.scaling,
        )
        state = ForwardState(has_read_listing=True)
        state.index = build_index(
            SiteConfiguration(version=1, services={SERVICE: service})
        )
        for progress in (state.configuration_progress, state.listing_progress):
            progress.era = self.era
        leases = SimpleNamespace(
            name="entry-1",
            api=self,
            records=dict(self.records),
            state=SimpleNamespace(tenure=SimpleNamespace(era=self.era)),
        )
        return ScalingWatch(
            state=state,
            leases=leases,
            metrics=make_metrics(),
            read_demand=self._read_demand,
            pacing=make_pacing(10.0),
            max_store_age_s=5.2,
            data_centres=tuple(PRICES),
            read_clock_s=lambda: self.now_s,
            draw=self.random.random,
            # The initial upstreams have been listed for long.
            listed=sum(INITIAL.values()),
        )

    def register_over(self, duration_s):
        """Let the initial upstreams appear in the list one after the other."""
        self.watch.listed = 0
        for number, machine in enumerate(self.machines.values()):
            machine.ready_s = number / len(self.machines) * duration_s

    def replace_holder(self):
        """Let another instance take the lease, with the stored orders."""
        end_scaling(self.watch)
        self.token += 1
        self.watch = self._make_watch()

    def restore(self):
        """Restore the store, so that the lease is taken again in another era."""
        self.era += 1
        end_scaling(self.watch)
        self.token += 1
        for progress in (
            self.watch.state.configuration_progress,
            self.watch.state.listing_progress,
        ):
            progress.era = self.era
        self.watch.leases.state.tenure.era = self.era

    def play(self, duration_s):
        """Play some time; each half second there is a cycle."""
        with ExitStack() as stack:
            for module, names in PATCHED.items():
                for name in names:
                    stack.enter_context(
                        patch.object(module, name, getattr(self, f"_{name}"))
                    )
            asyncio.run(self._play(duration_s))

    async def _play(self, duration_s):
        end_s = self.now_s + duration_s
        while self.now_s < end_s - 1e-9:
            self._update_machines()
            if round(self.now_s / STEP_S) % 2 == 0:
                self._update_listing()
                await run_cycle(self.watch)
            self._record_step()
            self.now_s += STEP_S

    def _find_token(self, leases, now_s):
        return self.token

    def _find_call_timeout_s(self, leases, now_s):
        return 0.5

    async def _refresh_token(self, leases):
        self.token += 1
        self.refreshes.append(self.now_s)
        return self.token

    async def _write_records(self, leases, writes, removals=()):
        self.first_records = self.first_records or dict(writes)
        self.records |= writes
        leases.records |= writes
        return True

    async def order_upstreams(self, order, holder, token, timeout_s):
        kind = list(CapacityKind)[order.is_preemptible]
        key = self.make_key(order.data_centre, kind)
        assert token >= self.highest_token, "the API got a lower token"
        self.highest_token = token
        before = self.desired.get(key, 0)
        result = self.result(key, order.count)
        if result is ApiResult.DONE and order.count > before:
            if self.now_s < self.unavailable_until_s.get(key, 0.0):
                result = ApiResult.CONFLICT
        self.calls.append(
            Call(
                at_s=self.now_s,
                key=key,
                count=order.count,
                before=before,
                token=token,
                result=result,
            )
        )
        is_executed = result is ApiResult.UNKNOWN and self.executes_unanswered
        if result is ApiResult.DONE or is_executed:
            self.desired[key] = order.count
        return result

    def reclaim(self, place):
        """Reclaim the preemptible upstreams of a data centre; none are left there."""
        key = self.make_key(place, CapacityKind.PREEMPTIBLE)
        self.unavailable_until_s[key] = self.now_s + 20.0
        for machine in self.machines.values():
            if machine.key == key:
                machine.ends_s = min(machine.ends_s, self.now_s + LEAVING_S)

    def crash(self, count):
        for name in self.random.sample(sorted(self.machines), count):
            del self.machines[name]

    def draw_faults(self, share):
        """Let calls fail at random, and executed ones get no response."""
        draw = random.Random(self.random.random())

        def choose_result(key, count):
            if draw.random() >= share:
                return ApiResult.DONE
            self.executes_unanswered = draw.random() < 0.5
            return draw.choice([each for each in ApiResult if each != "done"])

        self.result = choose_result

    def _start(self, key, count, boot_s=BOOT_S):
        for _ in range(count):
            name = f"machine-{len(self.machines)}-{self.random.getrandbits(48)}"
            self.machines[name] = Machine(key=key, ready_s=self.now_s + boot_s)

    def _update_machines(self):
        for name, machine in list(self.machines.items()):
            if machine.ends_s <= self.now_s:
                del self.machines[name]
        for key, count in self.desired.items():
            own = [
                each
                for each in self.machines.values()
                if each.key == key and each.ends_s == math.inf
            ]
            if self.now_s >= self.unavailable_until_s.get(key, 0.0):
                self._start(key, count - len(own))
            for machine in own[count:]:
                machine.ends_s = self.now_s + LEAVING_S

    def _update_listing(self):
        state = self.watch.state
        state.freshness.confirmed_s = self.now_s - self.list_age_s
        if self.list_age_s > 1:
            return
        state.listing.upstreams = {
            name: KnownUpstream(
                listed=ListedUpstream(
                    name=name,
                    service=SERVICE,
                    address="127.0.0.1:1",
                    data_centre=machine.key.data_centre,
                    slots=SLOTS,
                    is_leaving=machine.ends_s < math.inf,
                    is_preemptible=machine.key.kind is CapacityKind.PREEMPTIBLE,
                )
            )
            for name, machine in self.machines.items()
            if machine.ready_s <= self.now_s
        }

    def _read_demand(self, now_s):
        if now_s < self.begins_s:
            return {}
        offered, room = self.find_demand(), self.find_room()
        if self.cut_place:
            offered *= 2 / 3
        refused = max(0.0, offered - room)
        return {
            (SERVICE, place): ServiceDemand(
                arrived_per_s=offered / STREAM_S / len(INITIAL),
                refused_per_s=refused / STREAM_S / len(INITIAL),
                busy_slots=min(offered, room) / len(INITIAL),
                age_s=self.demand_age_s,
                instances=math.ceil(self.instances / len(INITIAL)),
            )
            if place != self.cut_place
            else ServiceDemand(age_s=0.5, instances=math.ceil(self.instances / 3))
            for place in INITIAL
            if place != self.silent_place
        }

    def find_demand(self):
        if self.now_s < self.begins_s:
            return 0.0
        noise = random.Random(f"{self.now_s}").gauss(0.0, 0.25)
        mean = self.demand(self.now_s)
        return max(0.0, mean + noise * math.sqrt(mean))

    def find_room(self):
        return SLOTS * self.count_serving()

    def count_serving(self, kind=None):
        return sum(
            each.ready_s <= self.now_s
            and each.ends_s == math.inf
            and kind in (None, each.key.kind)
            for each in self.machines.values()
        )

    def _record_step(self):
        cost = sum(
            PRICES[each.key.data_centre]
            * (0.22 if each.key.kind is CapacityKind.PREEMPTIBLE else 1.0)
            for each in self.machines.values()
        )
        for place in INITIAL:
            ordered = sum(
                count for key, count in self.desired.items() if key.data_centre == place
            )
            assert ordered <= self.scaling.max_upstreams, (self.now_s, place, ordered)
            assert ordered >= self.scaling.min_upstreams, (self.now_s, place, ordered)
        self.steps.append(
            Step(
                at_s=self.now_s,
                demand=self.find_demand(),
                room=self.find_room(),
                cost=cost,
                orders=sum(self.desired.values()),
            )
        )


INITIAL_COST = sum(PRICES[place] * count for place, count in INITIAL.items())
