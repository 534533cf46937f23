"""A small site for the cases: instances of the program, a store, workers and clients.

The instances are real processes, started with the command of the deploy file. The
store is the project's stand-in; workers and clients are written here and speak HTTP/1.1
on plain sockets, so that a case decides each byte.
"""

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
import uuid
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path

from aiohttp import web

from standins.store import StoreState, build_store_app, delete_row, write_row

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HOST = "site.example"
KEY = "key-of-the-first-tenant"
TENANT = "tenant-a"
CALLERS_PORT = 8227
READY_PORT = 8220
START_TIMEOUT_S = 30.0
SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"
# The bounds of the sheets of tjlrp-herdline and frigo-cluj.
SETTINGS = """node-name={name}
role=router
machine-class=edge
serves=edge
ip={host}
zone={zone}
region=region-1
zones.zone-a=region-1
zones.zone-b=region-1
zones.zone-c=region-1
listen.frontend={host}:{callers}
listen.ready={host}:{ready}
port-range=7340,7355
bootstrap=true
limits.cpu-quota=0.537
limits.cores=2
limits.memory-mb=300
limits.max-fds=4100
limits.link-mbps=1000.0
discovery=platform
entry-point=vip
heartbeat-ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform
fault-tolerance.machines=1
fault-tolerance.zones=1
bounds.seed-lag-s=3
bounds.reuse-after-s=2
bounds.contact-ms=3000
bounds.ack-ms=4000
bounds.catch-up-s=4
bounds.drain-ms=2000
bounds.grace-s=8
bounds.loss-slack-ms=200
bounds.config-ms=2000
bounds.rollback-slack-ms=250
bounds.max-skew-ms=5000
bounds.fail-closed=true
bounds.revoke-ms=5000
bounds.retry-ratio=0.2
bounds.retry-window-s=10
bounds.retry-extra=54
bounds.recover-s=12
bounds.event-delay-ms=120
bounds.reuse-window-s=6
platform.address={store}
platform.form=table
platform.writes-per-s=400
platform.reads-per-s=2000
platform.tx-ms=8.0
platform.part-writes-per-s=150
platform.row-bytes=65536
platform.cross-region=false
platform.history-s=20
platform.blob-bytes=8388608
platform.blob-ms=25.0
platform.blob-mb-per-s=80.0
"""


class CouldNotRunError(Exception):
    """The case could not be set up."""


@dataclass(kw_only=True)
class Request:
    """A request as a worker has received it, and the channel that it came on."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at_s: float
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def id(self) -> str:
        """The id of the client attempt."""
        return self.headers.get("x-attempt-id", "")


@dataclass(kw_only=True)
class Answer:
    """What a client got for one request; ``status`` is 0 without a head."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    sent_s: float = 0.0
    ended_s: float = 0.0
    error: str = ""


@dataclass(kw_only=True)
class Worker:
    """A worker of a service; ``serve`` answers each request."""

    name: str
    service: str
    zone: str
    serve: Callable[["Worker", Request], Awaitable[None]]
    host: str = "127.0.0.1"
    port: int = 0
    slots: int = 8
    version: str = "v1"
    born: int = 0
    requests: list[Request] = field(default_factory=list)
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    tasks: set[asyncio.Task] = field(default_factory=set)


@dataclass(kw_only=True)
class Instance:
    """A process of the program."""

    name: str
    host: str
    zone: str
    settings: Path
    log: Path
    process: asyncio.subprocess.Process | None = None


@dataclass(kw_only=True)
class Site:
    """A running site."""

    directory: Path
    network: str
    store: StoreState = field(default_factory=StoreState)
    store_port: int = 0
    instances: dict[str, Instance] = field(default_factory=dict)
    workers: dict[str, Worker] = field(default_factory=dict)
    lines: list[str] = field(default_factory=list)
    started_s: float = field(default_factory=time.monotonic)

    def note(self, text: str) -> None:
        """Add a line to the record.

        :param text: The line, without its time.
        """
        self.lines.append(f"{time.monotonic() - self.started_s:8.3f} {text}")


# Workers.


async def read_request(reader: asyncio.StreamReader) -> dict | None:
    """Read one request; ``None`` at the end of the channel.

    :param reader: The channel.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding") == "chunked":
        body, _ = await read_chunks(reader)
    return {"method": method, "target": target, "headers": headers, "body": body}


async def read_chunks(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    """Read a chunked body.

    :param reader: The channel.
    :returns: The bytes, and whether the last chunk came.
    """
    parts = []
    try:
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        parts.append(getattr(error, "partial", b""))
        return b"".join(parts), False
    return b"".join(parts), True


async def _serve_channel(worker, reader, writer):
    worker.writers.add(writer)
    worker.tasks.add(asyncio.current_task())
    try:
        while (fields := await read_request(reader)) is not None:
            request = Request(
                **fields, at_s=time.monotonic(), reader=reader, writer=writer
            )
            if request.target == "/v1/report":
                await answer(request, 200, json.dumps({"born": worker.born}).encode())
                continue
            expected = request.headers.get("x-expect-instance", worker.name)
            if expected != worker.name:
                await answer(request, 421, b"", (("X-Instance-Id", worker.name),))
                continue
            worker.requests.append(request)
            await worker.serve(worker, request)
    except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
        pass
    finally:
        worker.writers.discard(writer)
        worker.tasks.discard(asyncio.current_task())
        writer.close()


def make_head(
    request: Request, status: int, headers: tuple[tuple[str, str], ...] = ()
) -> bytes:
    """Build the head of an answer, with the id of its request.

    :param request: The request.
    :param status: The status.
    :param headers: Further headers.
    """
    lines = [f"HTTP/1.1 {status} Status", f"X-Attempt-Id: {request.id}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def answer(
    request: Request,
    status: int,
    body: bytes,
    headers: tuple[tuple[str, str], ...] = (),
) -> None:
    """Send a whole answer with its length.

    :param request: The request.
    :param status: The status.
    :param body: The body.
    :param headers: Further headers.
    """
    headers = (*headers, ("Content-Length", str(len(body))))
    if status == 200:
        headers = (*headers, ("X-Response-Signature", SIGNATURE))
    request.writer.write(make_head(request, status, headers) + body)
    await request.writer.drain()


async def answer_stream(request: Request, events: int, gap_s: float) -> None:
    """Send a chunked stream of events.

    :param request: The request.
    :param events: How many.
    :param gap_s: The time before each of them.
    """
    first = int(request.headers.get("last-event-id", "0") or 0)
    headers = (
        ("Content-Type", "text/event-stream"),
        ("Transfer-Encoding", "chunked"),
        ("X-Response-Signature", SIGNATURE),
    )
    await asyncio.sleep(gap_s)
    request.writer.write(make_head(request, 200, headers))
    for number in range(first + 1, events + 1):
        event = f"id: {number}\ndata: piece-{number}\n\n".encode()
        request.writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await request.writer.drain()
        await asyncio.sleep(gap_s)
    request.writer.write(b"0\r\n\r\n")
    await request.writer.drain()


async def start_worker(site: Site, worker: Worker, *, is_listed: bool = True) -> Worker:
    """Start a worker, or start it again at its address.

    :param site: The site.
    :param worker: The worker.
    :param is_listed: Whether its entry is written to the store.
    """
    worker.born = int(time.time() * 1000)
    worker.server = await asyncio.start_server(
        lambda reader, writer: _serve_channel(worker, reader, writer),
        worker.host,
        worker.port,
        reuse_address=True,
    )
    worker.port = worker.server.sockets[0].getsockname()[1]
    site.workers[worker.name] = worker
    if is_listed:
        list_worker(site, worker)
    return worker


def list_worker(site: Site, worker: Worker, state: str = "ready") -> None:
    """Write the entry of a worker to the store.

    :param site: The site.
    :param worker: The worker.
    :param state: What it says of itself.
    """
    entry = {
        "service": worker.service,
        "address": f"{worker.host}:{worker.port}",
        "zone": worker.zone,
        "version": worker.version,
        "slots": worker.slots,
        "state": state,
        "cold-remaining-ms": 0,
        "sequence": 1,
        "born": worker.born,
    }
    write_row(site.store, "servers", worker.name, json.dumps(entry).encode())


def unlist_worker(site: Site, name: str) -> None:
    """Remove the entry of a worker from the store.

    :param site: The site.
    :param name: Its id.
    """
    delete_row(site.store, "servers", name)


def crash_worker(worker: Worker) -> None:
    """End a worker as a crash does: its port and all its channels close at once.

    :param worker: The worker.
    """
    worker.server.close()
    for writer in list(worker.writers):
        writer.transport.abort()
    for task in list(worker.tasks):
        task.cancel()


# The operator.


def put_config(
    site: Site,
    version: int,
    routes: list[dict],
    keys: dict[str, list[str]] | None = None,
) -> None:
    """Write a configuration.

    :param site: The site.
    :param version: Its version.
    :param routes: Its routes.
    :param keys: The keys of each tenant.
    """
    keys = {TENANT: [KEY]} if keys is None else keys
    services = sorted({route["service"] for route in routes})
    document = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": each, "health-path": "/healthz", "max-conns": 300}
            for each in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [
            {"name": tenant, "api-keys": each, "priority": 1}
            for tenant, each in keys.items()
        ],
    }
    write_row(site.store, "op", "config", json.dumps(document).encode())


def make_route(prefix: str, service: str, kind: str, **fields) -> dict:
    """Build a route.

    :param prefix: Its prefix.
    :param service: Its service.
    :param kind: Its ``route-type``.
    :param fields: Fields in place of the usual ones, with underscores.
    """
    route = {
        "name": f"r{prefix.replace('/', '-')}",
        "host": HOST,
        "prefix": prefix,
        "route-type": kind,
        "timeout-ms": 3000,
        "target-latency-ms": 400,
        "priority": 1,
        "service": service,
        "max-attempts": 1,
        "anonymous": False,
        "session-affinity": kind == "streaming",
        "stream-resume": False,
    }
    return route | {name.replace("_", "-"): each for name, each in fields.items()}


# Instances.


def _free_network():
    """Find loopback addresses on which none of the ports is used."""
    for _ in range(50):
        network = f"127.{random.randrange(1, 255)}.{random.randrange(1, 255)}"
        with socket.socket() as probe, suppress(OSError):
            probe.bind((f"{network}.1", CALLERS_PORT))
            return network
    raise CouldNotRunError("no free addresses")


def _read_command():
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    return shlex.split(deploy["roles"]["router"]["run"])


async def start_instance(
    site: Site, name: str, zone: str, *, store: str = "", must_be_ready: bool = True
) -> Instance:
    """Start an instance, or start it again, and wait until it is ready.

    :param site: The site.
    :param name: Its name.
    :param zone: Its zone.
    :param store: Where it reaches the store; by default the stand-in itself.
    :param must_be_ready: Whether to wait.
    """
    instance = site.instances.get(name)
    if instance is None:
        host = f"{site.network}.{len(site.instances) + 1}"
        instance = Instance(
            name=name,
            host=host,
            zone=zone,
            settings=site.directory / f"{name}.conf",
            log=site.directory / f"{name}.log",
        )
        store = store or f"127.0.0.1:{site.store_port}"
        instance.settings.write_text(
            SETTINGS.format(
                name=name,
                host=host,
                zone=zone,
                store=store,
                callers=CALLERS_PORT,
                ready=READY_PORT,
            )
        )
        site.instances[name] = instance
    environment = {
        "PATH": os.environ.get("PATH", ""),
        "HOME": os.environ.get("HOME", ""),
        "LANG": os.environ.get("LANG", "C.UTF-8"),
        "PYTHONPATH": str(ROOT / "target/deps"),
        "JUJUBENOTCH_NODE_FILE": str(instance.settings),
    }
    with instance.log.open("ab") as log:
        instance.process = await asyncio.create_subprocess_exec(
            *_read_command(), cwd=ROOT, env=environment, stdout=log, stderr=log
        )
    site.note(f"instance {name} started")
    if must_be_ready:
        await wait_until_ready(instance)
        site.note(f"instance {name} ready")
    return instance


async def wait_until_ready(instance: Instance) -> None:
    """Wait until an instance answers its readiness question with 200.

    :param instance: The instance.
    """
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s:
        got = await send(
            instance.host, "GET", "/v1/readyz", port=READY_PORT, key="", wait_s=1.0
        )
        if got.status == 200:
            return
        await asyncio.sleep(0.1)
    raise CouldNotRunError(f"{instance.name} isn't ready; see {instance.log}")


async def kill_instance(site: Site, name: str) -> None:
    """Kill an instance.

    :param site: The site.
    :param name: Its name.
    """
    process = site.instances[name].process
    with suppress(ProcessLookupError):
        process.send_signal(signal.SIGKILL)
    await process.wait()
    site.note(f"instance {name} killed")


# Clients.


async def send(
    host: str,
    method: str,
    target: str,
    *,
    body: bytes = b"",
    headers: tuple[tuple[str, str], ...] = (),
    key: str = KEY,
    port: int = CALLERS_PORT,
    wait_s: float = 5.0,
    leave_after_s: float | None = None,
    attempt_id: str = "",
) -> Answer:
    """Send one request on a new channel, and read its answer.

    :param host: The instance's address.
    :param method: The method.
    :param target: The path and the query.
    :param body: The body.
    :param headers: Further headers.
    :param key: The client's key.
    :param port: The instance's port.
    :param wait_s: The client's time limit.
    :param leave_after_s: When the client closes its channel, if it doesn't stay.
    :param attempt_id: The id of the attempt; a new one by default.
    """
    got = Answer(sent_s=time.monotonic())
    writer = None
    limit_s = wait_s if leave_after_s is None else leave_after_s
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(host, port)
            lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
            lines.append(f"X-Attempt-Id: {attempt_id or uuid.uuid4().hex[:16]}")
            lines.append(f"X-Deadline-Ms: {int(wait_s * 1000)}")
            if key:
                lines.append(f"Authorization: Bearer {key}")
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            lines += [f"{name}: {value}" for name, value in headers]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await _read_answer(reader, got)
    except TimeoutError:
        got.error = "left" if leave_after_s is not None else "time limit"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        got.error = repr(error)
    finally:
        got.ended_s = time.monotonic()
        if writer is not None:
            writer.transport.abort() if got.error else writer.close()
    return got


async def _read_answer(reader, got):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    got.status = int(first.split(" ")[1])
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            got.headers[name.strip().lower()] = value.strip()
    if "content-length" in got.headers:
        got.body = await reader.readexactly(int(got.headers["content-length"]))
        got.is_complete = True
    elif got.headers.get("transfer-encoding") == "chunked":
        got.body, got.is_complete = await read_chunks(reader)
    else:
        got.body = await reader.read()
        got.is_complete = True


# A case.


@asynccontextmanager
async def open_site():
    """Open a site with its store, and end all that was started."""
    with tempfile.TemporaryDirectory(prefix="review-3-") as directory:
        site = Site(directory=Path(directory), network=_free_network())
        runner = web.AppRunner(build_store_app(site.store), shutdown_timeout=0.1)
        try:
            await runner.setup()
            listener = web.TCPSite(runner, "127.0.0.1", 0)
            await listener.start()
            site.store_port = listener._server.sockets[0].getsockname()[1]
            yield site
        finally:
            for instance in site.instances.values():
                await _end(instance.process)
            for worker in site.workers.values():
                crash_worker(worker)
            await runner.cleanup()
            if keep := os.environ.get("KEEP_LOGS"):
                _keep_logs(site, Path(keep))


def _keep_logs(site, directory):
    directory.mkdir(parents=True, exist_ok=True)
    for instance in site.instances.values():
        (directory / instance.log.name).write_bytes(instance.log.read_bytes())


async def _end(process):
    if process is None:
        return
    if process.returncode is None:
        with suppress(ProcessLookupError):
            process.send_signal(signal.SIGCONT)
            process.kill()
    await process.wait()


def run_case(case: Callable[[Site, bool], Awaitable[bool]], file: str) -> None:
    """Run a case, write its record and exit: 0 held, 1 broken, 2 could not run.

    :param case: Gets the site and whether the disruption is played; returns whether
        the rule held.
    :param file: The file of the case; the record is written beside it.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    sites = []

    async def run():
        async with open_site() as site:
            sites.append(site)
            return await case(site, has_trouble)

    code, told = COULD_NOT_RUN, ""
    try:
        code = HELD if asyncio.run(run()) else BROKEN
    except Exception as error:
        told = f"could not run: {error!r}"
    word = {HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}[code]
    lines = [f"disruption: {'yes' if has_trouble else 'no'}; the rule: {word} {told}"]
    lines += sites[0].lines if sites else []
    Path(file).with_name("record.txt").write_text("\n".join(lines) + "\n")
    print("\n".join([lines[0], *lines[-int(os.environ.get("TAIL", "12")) :]]))
    sys.exit(code)
