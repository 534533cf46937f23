"""Starts and ends the programs and stand-ins of a site."""

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
from benchmarks.site.callers import Callers, Entrance
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
from standins.store import StoreState, build_store_app, drop_row, write_row

CALLERS_PORT = 8000
READY_PORT = 8001
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 12.0
POLL_S = 0.05
SLOTS = 8
KEYS_PER_TEAM = 3
TEAMS = ("agents", "lawyers")


class SiteError(Exception):
    """The site could not be run."""


@dataclass(kw_only=True)
class Instance:
    """One process of the program, and the relays before and behind it.

    :param started_s: When its process was started, monotonic, in seconds.
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
class Place:
    """Where one upstream after the other runs, behind a relay.

    :param number: Counts the upstreams that ran here.
    """

    name: str
    zone: str
    host: str
    upstream: Upstream
    route: Route
    number: int = 0


@dataclass(kw_only=True)
class Site:
    """All that runs."""

    directory: Path
    generator: random.Random
    journal: SiteJournal
    store: StoreState
    configuration: Configuration
    callers: Callers
    instances: dict[str, Instance] = field(default_factory=dict)
    places: dict[str, Place] = field(default_factory=dict)


@asynccontextmanager
async def run_site(
    *, seed: int, directory: Path, instances: int, places: int, zones: int
) -> AsyncIterator[Site]:
    """Run a site; everything that it started is ended with it.

    :param seed: Fixes what is drawn.
    :param directory: Where settings and logs go.
    :param instances: How many instances.
    :param places: How many upstreams of each service.
    :param zones: How many data centres they are spread over.
    :raises SiteError: A program did not start.
    """
    site = _make_site(seed, directory)
    runner = web.AppRunner(build_store_app(site.store), shutdown_timeout=0.1)
    try:
        store_port = await _open_store(runner)
        publish_configuration(site)
        await _open_places(site, places, zones)
        await _open_instances(site, instances, zones, store_port)
        yield site
    finally:
        await _close(site, runner)


def publish_configuration(site: Site) -> None:
    """Write the next version of the configuration to the store.

    :param site: The site.
    """
    write_row(site.store, "op", "config", write_configuration(site.configuration))


def list_place(site: Site, place: Place) -> None:
    """Write the entry of the upstream that runs at a place.

    :param site: The site.
    :param place: The place.
    """
    upstream = place.upstream
    entry = write_entry(
        service=upstream.service,
        address=f"{place.host}:{place.route.port}",
        zone=place.zone,
        slots=upstream.slots,
        is_leaving=upstream.is_leaving,
    )
    write_row(site.store, "servers", upstream.name, entry)


def take_off_list(site: Site, name: str) -> None:
    """Remove an upstream's entry.

    :param site: The site.
    :param name: The upstream.
    """
    drop_row(site.store, "servers", name)


async def replace_upstream(
    site: Site, place: Place, *, service: str, port: int = 0
) -> None:
    """Start a new upstream at a place, behind the same address.

    :param site: The site.
    :param place: The place; its old upstream has ended.
    :param service: What the new one serves.
    :param port: Its own port; 0 for a free one.
    """
    place.number += 1
    place.upstream = _make_upstream(site, place, service, port)
    await open_upstream(place.upstream)
    place.route.target_port = place.upstream.port
    list_place(site, place)


async def start_instance(site: Site, name: str) -> None:
    """Start an instance and wait until it takes connections.

    :param site: The site.
    :param name: Its name.
    :raises SiteError: It did not.
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
        raise SiteError(f"{name} did not start") from error


async def kill_instance(site: Site, name: str) -> None:
    """Kill an instance at once.

    :param site: The site.
    :param name: Its name.
    """
    instance = site.instances[name]
    instance.is_meant_to_run = False
    with suppress(ProcessLookupError):
        instance.process.kill()
    await instance.process.wait()


async def stop_instance(site: Site, name: str) -> int:
    """Tell an instance to stop, and wait for its end.

    :param site: The site.
    :param name: Its name.
    :returns: Its exit code; that of a kill when it went on for too long.
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
    """List the exit codes of the instances that ended by themselves.

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
            entrances=[], journal=journal, keys=list(keys), generator=generator
        ),
    )


async def _open_store(runner):
    await runner.setup()
    listener = web.TCPSite(runner, LOOPBACK, 0)
    await listener.start()
    return listener._server.sockets[0].getsockname()[1]


async def _open_places(site, places, zones):
    for service in SERVICES:
        for number in range(places):
            host = LOOPBACK
            route = Route(target_host=host, target_port=0, host=host)
            place = Place(
                name=f"{service}-{number}",
                zone=f"zone-{number % zones}",
                host=host,
                upstream=None,
                route=route,
            )
            site.places[place.name] = place
            place.upstream = _make_upstream(site, place, service, 0)
            await open_upstream(place.upstream)
            route.target_port = place.upstream.port
            await open_route(route)
            list_place(site, place)


def _make_upstream(site, place, service, port):
    return Upstream(
        name=f"i-{place.name}-{place.number}",
        service=service,
        host=place.host,
        port=port,
        slots=SLOTS,
        record=site.journal.arrivals.append,
        generator=random.Random(site.generator.getrandbits(32)),
    )


async def _open_instances(site, instances, zones, store_port):
    # Loopback addresses of its own, so that sites side by side don't clash.
    network = f"127.{random.randrange(1, 255)}.{random.randrange(1, 255)}"
    for number in range(instances):
        host = f"{network}.{number + 1}"
        zone = f"zone-{number % zones}"
        await _add_instance(site, f"edge-{number + 1}", zone, host, store_port)
    await asyncio.gather(*(start_instance(site, name) for name in site.instances))


async def _add_instance(site, name, zone, host, store_port):
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
        host=host,
        store_host=store_route.host,
        store_port=store_route.port,
    )
    instance.settings_path.write_text(settings)
    site.instances[name] = instance
    entrance = Entrance(
        instance=name,
        host=callers_route.host,
        port=callers_route.port,
        ready_host=host,
        ready_port=READY_PORT,
    )
    site.callers.entrances.append(entrance)


async def _accepts(host, port):
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(probe, (host, port))
        except OSError:
            return False
    return True


async def _close(site, runner):
    for instance in site.instances.values():
        if instance.process is not None and instance.process.returncode is None:
            instance.is_meant_to_run = False
            with suppress(ProcessLookupError):
                instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
            await instance.process.wait()
        close_route(instance.callers_route)
        close_route(instance.store_route)
    for place in site.places.values():
        close_route(place.route)
        if place.upstream is not None and place.upstream.server is not None:
            await close_upstream(place.upstream)
    await runner.cleanup()
