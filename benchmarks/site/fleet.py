"""Starts and stops the programs and stand-ins of a site."""

import asyncio
import random
import signal
import socket
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path

from aiohttp import web

from benchmarks.processes import LOOPBACK, ROOT
from benchmarks.site.callers import Callers, InstanceEndpoint
from benchmarks.site.crashes import make_crash
from benchmarks.site.documents import (
    SERVICES,
    Configuration,
    write_configuration,
    write_entry,
    write_settings,
)
from benchmarks.site.model import SiteJournal
from benchmarks.site.upstreams import Upstream, close_upstream, open_upstream
from standins.relay_core import Route, close_route, open_route
from standins.store import StoreState, build_store_app, delete_row, write_row

CALLERS_PORT = 8000
READY_PORT = 8001
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 12.0
POLL_S = 0.05
SLOTS = 8
KEYS_PER_TEAM = 3
# The list has the entry of an upstream that has ended for this long.
LIST_EXPIRY_S = 3.6
# How long an upstream is away that ended because of a request.
CRASH_PAUSE_S = 1.0
TEAMS = ("agents", "lawyers")


class SiteError(Exception):
    """An instance of the site did not start."""


# Of the new upstreams: those that bring a version on, and those of the one before.
NEXT_VERSION_RATIO = 0.1
OLD_VERSION_RATIO = 0.4
# The shares of upstreams whose answers have no length, of which a run has one.
UNFRAMED_RATIOS = (0.0, 0.3, 1.0)


@dataclass(kw_only=True)
class Instance:
    """An instance: a process of the program, with relays to callers and the store.

    :param started_s: When the process was started, in seconds on the monotonic
        clock.
    :param is_meant_to_run: Whether an end of the process would be unexpected.
    """

    name: str
    host: str
    settings_path: Path
    log_path: Path
    callers_route: Route
    store_route: Route
    process: asyncio.subprocess.Process | None = None
    started_s: float = 0.0
    is_meant_to_run: bool = False


@dataclass(kw_only=True)
class UpstreamEndpoint:
    """An address behind a relay, at which successive upstreams run.

    :param number: How often the upstream at this address was replaced.
    """

    name: str
    zone: str
    host: str
    upstream: Upstream
    route: Route
    number: int = 0


@dataclass(kw_only=True)
class Site:
    """A running site: its instances, its stand-ins and the journal of the run.

    :param newest_version: The number of the newest software version of upstreams.
    :param unframed_ratio: The share of the upstreams whose answers have no length.
    :param addresses: The number of addresses that instances had.
    """

    directory: Path
    generator: random.Random
    journal: SiteJournal
    store: StoreState
    configuration: Configuration
    callers: Callers
    instances: dict[str, Instance] = field(default_factory=dict)
    upstream_endpoints: dict[str, UpstreamEndpoint] = field(default_factory=dict)
    restarts: set[asyncio.Task] = field(default_factory=set)
    newest_version: int = 2
    unframed_ratio: float = 0.0
    addresses: int = 0


@asynccontextmanager
async def run_site(
    *,
    seed: int,
    directory: Path,
    instances: int,
    upstreams_per_service: int,
    zones: int,
) -> AsyncIterator[Site]:
    """Start a site, and stop everything that it started at the end.

    :param seed: The seed of the random generators.
    :param directory: The directory that settings and logs are written to.
    :param instances: The number of instances.
    :param upstreams_per_service: The number of upstreams of each service.
    :param zones: The number of data centres that instances and upstreams are
        spread over.
    :raises SiteError: A program did not start.
    """
    site = _make_site(seed, directory)
    runner = web.AppRunner(build_store_app(site.store), shutdown_timeout=0.1)
    try:
        store_port = await _open_store(runner)
        publish_configuration(site)
        await _open_endpoints(site, upstreams_per_service, zones)
        await _open_instances(site, instances, zones, store_port)
        yield site
    finally:
        await _close(site, runner)


def publish_configuration(site: Site) -> None:
    """Write the next version of the configuration to the store.

    :param site: The site.
    """
    write_row(site.store, "op", "config", write_configuration(site.configuration))


def publish_upstream(site: Site, endpoint: UpstreamEndpoint) -> None:
    """Write the entry of an endpoint's current upstream to the store's list.

    :param site: The site.
    :param endpoint: The endpoint.
    """
    upstream = endpoint.upstream
    entry = write_entry(
        service=upstream.service,
        address=f"{endpoint.host}:{endpoint.route.port}",
        zone=endpoint.zone,
        slots=upstream.slots,
        is_leaving=upstream.is_leaving,
        version=upstream.version,
    )
    write_row(site.store, "servers", upstream.name, entry)


def unpublish_upstream(site: Site, name: str) -> None:
    """Remove an upstream's entry from the store's list.

    :param site: The site.
    :param name: The upstream's name.
    """
    delete_row(site.store, "servers", name)


async def replace_upstream(
    site: Site, endpoint: UpstreamEndpoint, *, service: str, port: int = 0
) -> None:
    """Start a new upstream at an endpoint, behind the same address.

    :param site: The site.
    :param endpoint: The endpoint; its former upstream has been closed.
    :param service: The service of the new upstream.
    :param port: The port that the new upstream listens on; 0 for a free one.
    """
    former = endpoint.upstream
    if former.server.is_serving():
        # Another fault has already replaced the upstream that was closed.
        unpublish_upstream(site, former.name)
        await close_upstream(former)
    endpoint.number += 1
    endpoint.upstream = _make_upstream(site, endpoint, service, port)
    await open_upstream(endpoint.upstream)
    endpoint.route.target_port = endpoint.upstream.port
    publish_upstream(site, endpoint)


async def start_instance(site: Site, name: str) -> None:
    """Start an instance and wait until it accepts connections.

    :param site: The site.
    :param name: The instance's name.
    :raises SiteError: The instance accepted no connection for 20 s.
    """
    instance = site.instances[name]
    with instance.log_path.open("ab") as log:
        instance.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "jujubenotch.platform.program",
            f"--settings={instance.settings_path}",
            cwd=ROOT,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
    instance.started_s = time.monotonic()
    instance.is_meant_to_run = True
    try:
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await _accepts(instance.host, READY_PORT):
                await asyncio.sleep(POLL_S)
    except TimeoutError as error:
        raise SiteError(
            f"{name} accepted no connections within {START_TIMEOUT_S:g} s"
        ) from error


async def kill_instance(site: Site, name: str) -> None:
    """Kill an instance, and wait until it has ended.

    :param site: The site.
    :param name: The instance's name.
    """
    instance = site.instances[name]
    instance.is_meant_to_run = False
    with suppress(ProcessLookupError):
        instance.process.kill()
    await instance.process.wait()


def move_instance(site: Site, name: str) -> None:
    """Give an instance that has ended an address that none had before.

    :param site: The site.
    :param name: The instance's name.
    """
    instance = site.instances[name]
    former = instance.host
    site.addresses += 1
    instance.host = f"{former.rpartition('.')[0]}.{site.addresses}"
    text = instance.settings_path.read_text()
    instance.settings_path.write_text(text.replace(former, instance.host))
    instance.callers_route.target_host = instance.host
    for endpoint in site.callers.endpoints:
        if endpoint.instance == name:
            endpoint.ready_host = instance.host


async def stop_instance(site: Site, name: str) -> int:
    """Ask an instance to stop, and wait until it has ended.

    :param site: The site.
    :param name: The instance's name.
    :returns: The exit code; that of a killed process if the instance did not end
        within 12 s.
    """
    instance = site.instances[name]
    instance.is_meant_to_run = False
    with suppress(ProcessLookupError):
        instance.process.send_signal(signal.SIGTERM)
    try:
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await instance.process.wait()
    except TimeoutError:
        await kill_instance(site, name)
        return instance.process.returncode


def list_exited(site: Site) -> dict[str, int]:
    """List the exit codes of the instances that ended unexpectedly, by name.

    :param site: The site.
    """
    return {
        name: instance.process.returncode
        for name, instance in site.instances.items()
        if instance.is_meant_to_run and instance.process.returncode is not None
    }


def _make_site(seed, directory):
    directory.mkdir(parents=True, exist_ok=True)
    generator = random.Random(f"site {seed}")
    journal = SiteJournal()
    keys = {
        f"key-{team}-{number}": team
        for team in TEAMS
        for number in range(KEYS_PER_TEAM)
    }
    journal.teams.update(keys)
    return Site(
        directory=directory,
        generator=generator,
        journal=journal,
        store=StoreState(),
        configuration=Configuration(keys=keys),
        callers=Callers(
            endpoints=[], journal=journal, keys=list(keys), generator=generator
        ),
        # A generator of its own leaves the other draws of a seed as they are.
        unframed_ratio=random.Random(f"unframed {seed}").choice(UNFRAMED_RATIOS),
    )


async def _open_store(runner):
    await runner.setup()
    listener = web.TCPSite(runner, LOOPBACK, 0)
    await listener.start()
    return listener._server.sockets[0].getsockname()[1]


async def _open_endpoints(site, upstreams_per_service, zones):
    for service in SERVICES:
        for number in range(upstreams_per_service):
            host = LOOPBACK
            route = Route(target_host=host, target_port=0, host=host)
            endpoint = UpstreamEndpoint(
                name=f"{service}-{number}",
                zone=f"zone-{number % zones}",
                host=host,
                upstream=None,
                route=route,
            )
            site.upstream_endpoints[endpoint.name] = endpoint
            endpoint.upstream = _make_upstream(site, endpoint, service, 0)
            await open_upstream(endpoint.upstream)
            route.target_port = endpoint.upstream.port
            await open_route(route)
            publish_upstream(site, endpoint)


def _draw_version(site):
    """Draw the version of a new upstream; most of a while are of the same one."""
    if site.generator.random() < NEXT_VERSION_RATIO:
        site.newest_version += 1
    return f"v{site.newest_version - (site.generator.random() < OLD_VERSION_RATIO)}"


def _make_upstream(site, endpoint, service, port):
    version = _draw_version(site)
    seed = site.generator.getrandbits(32)
    return Upstream(
        name=f"i-{endpoint.name}-{endpoint.number}",
        service=service,
        host=endpoint.host,
        port=port,
        slots=SLOTS,
        record=site.journal.arrivals.append,
        record_statement=site.journal.statements.append,
        version=version,
        record_part=site.journal.stream_parts.append,
        record_copy=site.journal.copies.append,
        crash=lambda upstream, content: _crash(site, endpoint, upstream, content),
        is_unframed=random.Random(seed).random() < site.unframed_ratio,
        generator=random.Random(seed),
    )


def _crash(site, endpoint, upstream, content):
    """End an upstream because of a request, and start it again after a pause."""
    if not upstream.server.is_serving():
        return
    site.journal.content_crashes.append(make_crash(upstream.name, content))
    upstream.server.close()
    task = asyncio.create_task(_restart(site, endpoint, upstream))
    site.restarts.add(task)
    task.add_done_callback(site.restarts.discard)


async def _restart(site, endpoint, upstream):
    await close_upstream(upstream)
    asyncio.get_running_loop().call_later(
        LIST_EXPIRY_S, unpublish_upstream, site, upstream.name
    )
    await asyncio.sleep(CRASH_PAUSE_S)
    if endpoint.upstream is upstream:
        await replace_upstream(site, endpoint, service=upstream.service)


async def _open_instances(site, instances, zones, store_port):
    # Each site draws its own loopback addresses, so that sites that run at the same
    # time don't use the same ones.
    network = f"127.{random.randrange(1, 255)}.{random.randrange(1, 255)}"
    site.addresses = instances
    for number in range(instances):
        host = f"{network}.{number + 1}"
        zone = f"zone-{number % zones}"
        await _add_instance(site, f"edge-{number + 1}", zone, zones, host, store_port)
    await asyncio.gather(*(start_instance(site, name) for name in site.instances))


async def _add_instance(site, name, zone, zones, host, store_port):
    callers_route = Route(target_host=host, target_port=CALLERS_PORT)
    store_route = Route(target_host=LOOPBACK, target_port=store_port)
    await open_route(callers_route)
    await open_route(store_route)
    instance = Instance(
        name=name,
        host=host,
        settings_path=site.directory / f"{name}.conf",
        log_path=site.directory / f"{name}.log",
        callers_route=callers_route,
        store_route=store_route,
    )
    settings = write_settings(
        name=name,
        zone=zone,
        zones=zones,
        host=host,
        store_host=store_route.host,
        store_port=store_route.port,
    )
    instance.settings_path.write_text(settings)
    site.instances[name] = instance
    endpoint = InstanceEndpoint(
        instance=name,
        host=callers_route.host,
        port=callers_route.port,
        ready_host=host,
        ready_port=READY_PORT,
    )
    site.callers.endpoints.append(endpoint)


async def _accepts(host, port):
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(probe, (host, port))
        except OSError:
            return False
    return True


async def _close(site, runner):
    for task in list(site.restarts):
        task.cancel()
    for instance in site.instances.values():
        if instance.process is not None and instance.process.returncode is None:
            instance.is_meant_to_run = False
            with suppress(ProcessLookupError):
                instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
            await instance.process.wait()
        close_route(instance.callers_route)
        close_route(instance.store_route)
    for endpoint in site.upstream_endpoints.values():
        close_route(endpoint.route)
        if endpoint.upstream is not None and endpoint.upstream.server is not None:
            await close_upstream(endpoint.upstream)
    await runner.cleanup()
