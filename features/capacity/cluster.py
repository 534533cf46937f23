"""Runs several instances in one event loop, for the capacity features."""

import asyncio
import itertools
import time
from dataclasses import dataclass, field

from jujubenotch.admission import (
    Grant,
    LoadReport,
    WorkReport,
    WorkRequest,
    WorkResult,
    summarise,
)
from jujubenotch.capacity import (
    CoordinatedCapacityDependencies,
    start_coordinated_capacity,
)
from jujubenotch.membership import choose_by_rendezvous
from jujubenotch.records import Configuration

TIMEOUT_S = 8.0
incarnations = itertools.count(1)
numbers = itertools.count(1)


@dataclass
class Cluster:
    loop: object
    target: str
    slots: int
    configuration: Configuration
    capacities: dict = field(default_factory=dict)
    seeds: dict = field(default_factory=dict)
    requests: list = field(default_factory=list)
    revisions: set = field(default_factory=set)
    is_upstream_leaving: bool = False
    listed: list = field(default_factory=list)

    @property
    def group(self):
        return f"north/{self.target}"


def find_target_with_coordinator(coordinator, names):
    for number in itertools.count():
        target = f"m{number}"
        if choose_by_rendezvous(f"north/{target}", names)[0] == coordinator:
            return target


async def start_instance(cluster, name, bound):
    async def read_load(upstream):
        return LoadReport(
            running=0,
            waiting=0,
            slots=cluster.slots,
            is_leaving=cluster.is_upstream_leaving,
        )

    async def list_instances():
        return cluster.listed

    cluster.capacities[name] = await start_coordinated_capacity(
        CoordinatedCapacityDependencies(
            name=name,
            data_centre=cluster.seeds[name].data_centre,
            incarnation=next(incarnations),
            advertised_host="127.0.0.1",
            listener_socket=bound,
            read_configuration=lambda: cluster.configuration,
            read_clock_s=time.monotonic,
            on_peer_revision=lambda revision, peer: cluster.revisions.add(
                (name, peer, revision)
            ),
            read_changes_since=lambda revision: [b"%d" % (revision + 1)],
            apply_pushed_changes=lambda changes: None,
            read_trace=lambda request_id: f"{name}:{request_id}".encode(),
            read_load=read_load,
            list_instances=list_instances,
            seeds=tuple(cluster.seeds.values()),
        )
    )


async def wait_until(condition):
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


def wait(context, condition):
    context.loop.run_until_complete(wait_until(condition))


def read_in_use(capacity, group):
    pool = capacity.state.coordinator.pool_runner.pools.get(group)
    return sum(summarise(pool, time.monotonic()).in_progress) if pool else None


def read_coordinator(cluster, name):
    return (
        cluster.capacities[name].state.client.groups[cluster.group].source.coordinator
    )


def is_settled(cluster):
    states = [capacity.state for capacity in cluster.capacities.values()]
    coordinators = {state.coordinators.get(cluster.group) for state in states}
    used = {state.client.groups[cluster.group].source.coordinator for state in states}
    live = {state.live for state in states}
    if len(coordinators) != 1 or coordinators != used or len(live) != 1:
        return False
    group = cluster.capacities[next(iter(coordinators))].state.coordinator.groups[
        cluster.group
    ]
    return group.attached == set(cluster.capacities)


def request_slots(cluster, name, count):
    for _ in range(count):
        request = make_request(target=cluster.target)
        task = cluster.loop.create_task(cluster.capacities[name].acquire(request))
        cluster.requests.append((name, task))


def list_held(cluster, name=None):
    return [
        task
        for requester, task in cluster.requests
        if name in (None, requester) and task.done() and not task.cancelled()
        if isinstance(task.result(), Grant)
    ]


def list_waiting(cluster):
    return [task for _, task in cluster.requests if not task.done()]


def release_slot(cluster, name):
    for entry in cluster.requests:
        if entry[0] == name and entry[1].done():
            cluster.requests.remove(entry)
            report = WorkReport(result=WorkResult.COMPLETED, tokens=3)
            capacity = cluster.capacities[name]
            capacity.release(entry[1].result(), report, time.monotonic())
            return


async def close_all(cluster):
    for capacity in cluster.capacities.values():
        await capacity.close()
    for _, task in cluster.requests:
        task.cancel()
    await asyncio.sleep(0.02)


def make_request(target="m", tier=0, deadline_in_s=60.0):
    now_s = time.monotonic()
    return WorkRequest(
        request_id=f"r{next(numbers)}",
        target=target,
        team="t",
        team_weight=1.0,
        team_limit=0,
        service_class="c",
        tier=tier,
        arrived_s=now_s,
        first_token_by_s=now_s + deadline_in_s,
        deadline_s=now_s + deadline_in_s,
        max_wait_s=30.0,
        expected_tokens=100,
    )


def run(context, coroutine):
    return context.loop.run_until_complete(asyncio.wait_for(coroutine, TIMEOUT_S))
