"""Runs a deployment as separate processes on loopback."""

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import aiohttp

from benchmarks.layout import (
    PLATFORM,
    RELAYS,
    FleetPlan,
    Layout,
    find_callers_url,
    find_upstream_url,
    make_layout,
    write_instance_settings,
    write_platform_arguments,
    write_upstream_commands,
)
from benchmarks.processes import (
    LOOPBACK,
    Processes,
    send_signal,
    start_program,
    stop_processes,
    wait_for_end,
)
from benchmarks.records import write_records
from jujubenotch.records import (
    Accepted,
    ChangeRequest,
    ConfigurationReplica,
    ConfigurationStore,
    InvalidRecords,
    parse_documents,
    poll_platform,
    submit_change,
)
from jujubenotch.tables import make_platform_client

PLATFORM_TIMEOUT_S = 5.0
CONTROL_TIMEOUT_S = 10.0
SETTLE_S = 2.0


class FleetError(Exception):
    """A fleet could not be set up."""


@dataclass(kw_only=True)
class Fleet:
    """A running fleet.

    :param session: The HTTP session for requests to stand-ins and operators' ports.

    >>> async with run_fleet(plan, Path("build/run")) as fleet:
    ...     await pause(fleet, "partnership-1")
    """

    layout: Layout
    processes: Processes
    session: aiohttp.ClientSession

    @property
    def instance_urls(self) -> list[str]:
        """The base addresses that callers reach the instances by."""
        return [find_callers_url(self.layout, each) for each in self.layout.instances]


@asynccontextmanager
async def run_fleet(plan: FleetPlan, directory: Path) -> AsyncIterator[Fleet]:
    """Start a fleet, and stop all its processes at the end, also after an error.

    :param plan: The plan of the fleet.
    :param directory: The directory that settings, journals and logs are written to.
    :raises FleetError: The records are invalid or were not accepted.
    :raises ProcessError: A program did not start.
    """
    directory.mkdir(parents=True, exist_ok=True)
    processes = Processes(directory=directory)
    timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        fleet = Fleet(
            layout=make_layout(plan, directory), processes=processes, session=session
        )
        try:
            await _start_all(fleet)
            yield fleet
        finally:
            await asyncio.shield(stop_processes(processes))


def list_exited(fleet: Fleet) -> dict[str, int]:
    """List the processes that ended unexpectedly.

    :param fleet: The fleet.
    :returns: The exit codes by process name.
    """
    return {
        name: program.process.returncode
        for name, program in fleet.processes.running.items()
        if program.process.returncode is not None
    }


async def start(fleet: Fleet, name: str) -> None:
    """Start a process on the ports of the layout, also after a stop or a kill.

    :param fleet: The fleet.
    :param name: An instance, an upstream or the platform.
    :raises ProcessError: The process did not start.
    """
    layout = fleet.layout
    if name in layout.instances:
        settings = write_instance_settings(layout, name)
        module, arguments = "jujubenotch.daemon.program", [f"--settings={settings}"]
        port = layout.instances[name].callers_port
    elif name == PLATFORM:
        module, arguments = "standins.platform", write_platform_arguments(layout)
        port = layout.ports[name]
    else:
        module, arguments = write_upstream_commands(layout)[name]
        port = layout.ports[name]
    await start_program(fleet.processes, name, module, arguments, port)


async def stop(fleet: Fleet, name: str) -> int:
    """Ask a process to stop, and wait until it has ended.

    :param fleet: The fleet.
    :param name: The name of the process.
    :returns: The exit code.
    """
    send_signal(fleet.processes, name, signal.SIGTERM)
    return await wait_for_end(fleet.processes, name)


async def kill_program(fleet: Fleet, name: str) -> None:
    """Kill a process, and wait until it has ended.

    :param fleet: The fleet.
    :param name: The name of the process.
    """
    send_signal(fleet.processes, name, signal.SIGKILL)
    await wait_for_end(fleet.processes, name)


async def restart(fleet: Fleet, name: str) -> None:
    """Stop a process and start it again.

    :param fleet: The fleet.
    :param name: The name of the process.
    """
    await stop(fleet, name)
    await start(fleet, name)


def pause(fleet: Fleet, name: str) -> None:
    """Pause a process.

    :param fleet: The fleet.
    :param name: The name of the process.
    """
    send_signal(fleet.processes, name, signal.SIGSTOP)


def resume(fleet: Fleet, name: str) -> None:
    """Resume a paused process.

    :param fleet: The fleet.
    :param name: The name of the process.
    """
    send_signal(fleet.processes, name, signal.SIGCONT)


async def _start_all(fleet):
    plan = fleet.layout.plan
    relays = RELAYS if plan.has_relays else ()
    upstreams = write_upstream_commands(fleet.layout)
    async with asyncio.TaskGroup() as group:
        for name in (PLATFORM, *upstreams):
            group.create_task(start(fleet, name))
        for relay in relays:
            group.create_task(_start_relay(fleet, relay))
    await _apply_records(fleet)
    async with asyncio.TaskGroup() as group:
        for name in fleet.layout.instances:
            group.create_task(start(fleet, name))
    await asyncio.sleep(SETTLE_S)


async def _start_relay(fleet, relay):
    name = f"relay-{relay}"
    port = fleet.layout.ports[name]
    await start_program(
        fleet.processes, name, "standins.relay", [f"--port={port}"], port
    )
    for route in fleet.layout.routes.values():
        if route.relay != relay:
            continue
        document = {
            "target_host": LOOPBACK,
            "target_port": route.target_port,
            "host": route.host,
            "port": route.port,
            "delay_s": route.delay_s,
        }
        url = f"http://{LOOPBACK}:{port}/routes/{route.name}"
        async with fleet.session.put(url, json=document) as answer:
            answer.raise_for_status()


async def _apply_records(fleet):
    layout = fleet.layout
    upstreams = write_upstream_commands(layout)
    text = write_records(
        layout.plan.deployment,
        {name: find_upstream_url(layout, name) for name in upstreams},
        layout.plan.watts_by_data_centre,
    )
    (layout.directory / "records.toml").write_text(text)
    edit = parse_documents({"records.toml": text})
    if isinstance(edit, InvalidRecords):
        raise FleetError("\n".join(str(problem) for problem in edit.problems))
    url = f"http://{LOOPBACK}:{layout.ports[PLATFORM]}"
    platform = make_platform_client(kind="http", url=url, timeout_s=PLATFORM_TIMEOUT_S)
    replica = ConfigurationReplica()
    store = ConfigurationStore(platform=platform, replica=replica)
    try:
        await poll_platform(replica, platform)
        request = ChangeRequest(change_id="fleet", edit=edit)
        result = await submit_change(store, request)
    finally:
        await platform.close()
    if not isinstance(result, Accepted):
        raise FleetError(f"the initial records were not accepted: {result}")
