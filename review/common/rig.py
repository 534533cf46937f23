"""A small deployment on loopback addresses, for the cases of this review.

It runs the router as the deploy file does, beside the project's stand-in of the store
and workers of its own (``worker.py``), each a process of its own.
"""

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

from aiohttp import web
from worker import SLOTS

from standins.store import StoreState, build_store_app, delete_row, write_row

ROOT = Path(__file__).resolve().parents[2]
DEPS = ROOT / "target" / "deps"
LOOPBACK = "127.0.0.1"
HOST = "site.example"
HEARTBEAT_S = 1.2
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
START_TIMEOUT_S = 20.0
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
port-range={first},{last}
bootstrap=true
heartbeat-ms=1200
bounds.contact-ms=3000
bounds.drain-ms=2000
bounds.grace-s=8
bounds.loss-slack-ms=200
bounds.config-ms=2000
bounds.fail-closed=true
bounds.revoke-ms=5000
bounds.retry-ratio=0.2
bounds.retry-window-s=10
platform.address={store}
platform.form=table
"""


class CouldNotRunError(Exception):
    """The case could not be set up."""


class Record:
    """Writes what happens to ``record.txt`` of a case."""

    def __init__(self, path):
        self.file = Path(path).open("w")
        self.begun_s = time.monotonic()
        self.lines = []

    def add(self, who, text):
        """Add a line with the time since the start.

        :param who: Who did something.
        :param text: What was done.
        """
        line = f"{time.monotonic() - self.begun_s:8.3f} {who}: {text}"
        self.lines.append(line)
        print(line, file=self.file, flush=True)


def find_port(host=LOOPBACK):
    """Return a free port.

    :param host: The address on which it is free.
    """
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Worker:
    """A worker process and its entry in the store."""

    def __init__(self, rig, name, service, mode, version="v1"):
        self.rig = rig
        self.name = name
        self.service = service
        self.mode = mode
        self.version = version
        self.port = find_port()
        self.process = None
        self.is_listed = False
        self.born_ms = 0

    async def start(self):
        """Start the process and wait until it listens."""
        command = [sys.executable, str(Path(__file__).with_name("worker.py"))]
        command += [self.name, str(self.port), self.mode]
        self.process = await asyncio.create_subprocess_exec(
            *command, stdout=asyncio.subprocess.PIPE
        )
        self.born_ms = int(time.time() * 1000)
        self.rig.processes.append(self.process)
        await asyncio.wait_for(self.process.stdout.readline(), START_TIMEOUT_S)
        task = asyncio.create_task(self._read())
        self.rig.tasks.append(task)

    async def _read(self):
        while line := await self.process.stdout.readline():
            self.rig.record.add(f"worker {self.name}", line.decode().strip())
            self.rig.events.append((self.name, *line.decode().split()))

    def list(self, state="ready"):
        """Write the worker's entry, and again with each heartbeat.

        :param state: ``ready`` or ``draining``.
        """
        self.is_listed = True
        self.write_entry(state)

    def write_entry(self, state="ready"):
        """Write the entry once.

        :param state: ``ready`` or ``draining``.
        """
        entry = {
            "service": self.service,
            "address": f"{LOOPBACK}:{self.port}",
            "zone": "zone-a",
            "version": self.version,
            "slots": SLOTS,
            "born": self.born_ms,
            "state": state,
            "cold-remaining-ms": 0,
            "sequence": 1,
        }
        write_row(self.rig.store, "servers", self.name, json.dumps(entry).encode())

    def unlist(self):
        """Remove the entry."""
        self.is_listed = False
        delete_row(self.rig.store, "servers", self.name)

    async def kill(self):
        """Kill the process, as in a crash."""
        self.rig.record.add("trouble", f"worker {self.name} crashes (SIGKILL)")
        self.process.kill()
        await self.process.wait()


class Instance:
    """A process of the router."""

    def __init__(self, rig, name, zone, number):
        self.rig = rig
        self.name = name
        self.host = f"127.{rig.network}.{number}"
        self.callers = find_port(self.host)
        self.ready = find_port(self.host)
        first = find_port(self.host)
        self.path = rig.directory / f"{name}.conf"
        self.log_path = rig.directory / f"{name}.log"
        self.path.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                host=self.host,
                callers=self.callers,
                ready=self.ready,
                first=first,
                last=first + 15,
                store=f"{LOOPBACK}:{rig.store_port}",
            )
        )
        self.process = None

    async def start(self):
        """Start the process as the deploy file does, and wait until it is ready."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= {
            "JUJUBENOTCH_NODE_FILE": str(self.path),
            "PYTHONPATH": str(DEPS),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *("-m", "jujubenotch.platform.program"),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.rig.processes.append(self.process)

    async def wait_ready(self, timeout_s=START_TIMEOUT_S):
        """Wait until the instance reports that it is ready.

        :param timeout_s: The longest time to wait, in seconds.
        """
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            if await self.is_ready():
                self.rig.record.add(f"instance {self.name}", "ready")
                return
            await asyncio.sleep(0.05)
        raise CouldNotRunError(f"{self.name} was not ready after {timeout_s} s")

    async def is_ready(self):
        """Return whether the instance answers its readiness check with 200."""
        head = b"GET /v1/readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n"
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                answer = await exchange(self.host, self.ready, head)
                return answer.startswith(b"HTTP/1.1 200")
        return False

    def signal(self, number):
        """Send a signal to the process.

        :param number: The signal.
        """
        self.rig.record.add("trouble", f"{self.name} gets {number.name}")
        self.process.send_signal(number)


async def exchange(host, port, content):
    """Send bytes on a new connection and return all bytes until its end.

    :param host: The address.
    :param port: The port.
    :param content: The bytes.
    """
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(content)
        return await reader.read(-1)
    finally:
        writer.close()


class Rig:
    """The store, the workers and the instances of one run."""

    def __init__(self, record):
        self.record = record
        self.store = StoreState()
        self.store_port = 0
        self.workers = []
        self.instances = []
        self.processes = []
        self.tasks = []
        self.events = []
        self.network = f"{os.getpid() % 250 + 2}.{int(time.time() * 7) % 250 + 1}"
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.directory = Path(self.temporary.name)
        self.runner = None
        self.is_beating = True

    async def open_store(self):
        """Serve the store."""
        app = build_store_app(self.store)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, LOOPBACK, 0)
        await site.start()
        self.store_port = site._server.sockets[0].getsockname()[1]
        self.tasks.append(asyncio.create_task(self._beat()))

    async def _beat(self):
        """Write the entries that are missing again, as running workers do."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for worker in self.workers:
                row = self.store.rows.get(("servers", "", worker.name))
                is_missing = row is None or row.is_deleted
                runs = worker.process and worker.process.returncode is None
                if worker.is_listed and is_missing and runs and not self.store.fault:
                    worker.write_entry()

    def write_configuration(self, version, keys, routes, services, tenants=None):
        """Write a configuration as the operator.

        :param version: Its version.
        :param keys: The keys of the only tenant.
        :param routes: The routes.
        :param services: The names of the services.
        :param tenants: The tenants instead of that one.
        """
        if tenants is None:
            tenants = [{"name": "farm", "api-keys": keys}]
        document = {
            "version": version,
            "routes": routes,
            "services": [
                {"name": name, "health-path": "/healthz", "max-conns": 100}
                for name in services
            ],
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 4194304,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
            "tenants": tenants,
        }
        write_row(self.store, "op", "config", json.dumps(document).encode())
        self.record.add("operator", f"version {version} confirmed, keys {keys}")

    async def add_worker(self, name, service, mode, **options):
        """Start a worker and list it.

        :param name: Its id.
        :param service: Its service.
        :param mode: How it behaves; see ``worker.py``.
        """
        worker = Worker(self, name, service, mode, **options)
        self.workers.append(worker)
        await worker.start()
        worker.list()
        return worker

    async def add_instance(self, name, zone):
        """Start an instance.

        :param name: Its name.
        :param zone: Its zone.
        """
        instance = Instance(self, name, zone, len(self.instances) + 1)
        self.instances.append(instance)
        await instance.start()
        return instance

    async def close(self):
        """End all that was started."""
        for task in self.tasks:
            task.cancel()
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()
        if self.runner is not None:
            await self.runner.cleanup()
        if keep := os.environ.get("KEEP_LOGS"):
            for instance in self.instances:
                Path(keep, f"{instance.name}.log").write_bytes(
                    instance.log_path.read_bytes()
                )
        self.temporary.cleanup()


def make_route(name, service, kind, *, resume=False, attempts=1, timeout_ms=10000):
    """Return a route of the configuration.

    :param name: Its name, which is its prefix as well.
    :param service: Its service.
    :param kind: The route type.
    :param resume: Whether streams may be resumed.
    :param attempts: The largest number of workers.
    :param timeout_ms: The longest time that a caller waits.
    """
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "route-type": kind,
        "timeout-ms": timeout_ms,
        "target-latency-ms": 300,
        "priority": 0,
        "service": service,
        "max-attempts": attempts,
        "anonymous": False,
        "stream-resume": resume,
        "gap-target-ms": 200,
    }


class Answer:
    """What a client has seen of one answer.

    :param end: ``whole``, ``closed`` (without a length) or ``cut``.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.end = "cut"


async def send(rig, instance, request_id, method, path, *, key="k1", **options):
    """Send a request on a new connection and read its answer as a client does.

    :param rig: The deployment.
    :param instance: The instance that gets the request.
    :param request_id: The request's id.
    :param method: The method.
    :param path: The path.
    :param key: The client's key.
    :param options: ``body``, ``headers`` and ``deadline_ms``.
    """
    body = options.get("body", b"")
    deadline_ms = options.get("deadline_ms", 10000)
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {key}",
        *options.get("headers", ()),
    ]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join(lines).encode() + b"\r\n\r\n"
    answer = Answer()
    rig.record.add("client", f"sends {request_id} {method} {path} with key {key}")
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 1):
            await _exchange(instance, head + body, answer)
    except (OSError, EOFError, TimeoutError, ValueError) as error:
        rig.record.add("client", f"{request_id}: {type(error).__name__}")
    rig.record.add(
        "client",
        f"{request_id}: status {answer.status}, {len(answer.body)} bytes, "
        f"end of the answer: {answer.end}",
    )
    return answer


async def _exchange(instance, content, answer):
    reader, writer = await asyncio.open_connection(instance.host, instance.callers)
    try:
        writer.write(content)
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines if line)
        answer.headers = {name.lower(): value.strip() for name, _, value in pairs}
        answer.status = int(first.split()[1])
        await _read_body(reader, answer)
    finally:
        writer.close()


async def _read_body(reader, answer):
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            answer.body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                break
        answer.end = "whole"
    elif "content-length" in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
        answer.end = "whole"
    else:
        while part := await reader.read(65536):
            answer.body += part
        answer.end = "closed"


def is_troubled():
    """Return whether the case's disruption is played; ``TROUBLE=0`` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(directory, play):
    """Run a case and exit with its result.

    :param directory: The folder of the case.
    :param play: Plays the case on a deployment; returns the reasons why the rule was
        broken.
    """
    record = Record(Path(directory) / "record.txt")
    try:
        reasons = asyncio.run(_play(record, play))
    except Exception as error:
        record.add("case", f"could not run: {error!r}")
        sys.exit(COULD_NOT_RUN)
    for reason in reasons:
        record.add("verdict", reason)
        print(reason)
    text = "the rule was broken" if reasons else "the rule held"
    record.add("verdict", text)
    print(text)
    sys.exit(BROKEN if reasons else HELD)


async def _play(record, play):
    rig = Rig(record)
    try:
        async with asyncio.timeout(110):
            await rig.open_store()
            return await play(rig)
    finally:
        await rig.close()
