"""Starts the project's program with stand-ins for the store, servers and clients.

The store is the project's own stand-in (``standins/store.py``); the servers and the
clients are small ones on raw sockets, so that a case decides on each byte.
"""

import asyncio
import contextlib
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

import orjson
from aiohttp import web

from standins.store import StoreState, build_store_app, delete_row, write_row

ROOT = Path(__file__).resolve().parents[2]
HOST = "site.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
START_S = 15.0


def route(name, kind, service, **fields):
    """Return a route of the configuration; its prefix is its name."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "route-type": kind,
        "timeout-ms": 10000,
        "target-latency-ms": 400,
        "priority": 1,
        "service": service,
        "max-attempts": 1,
        "anonymous": False,
        "session-affinity": False,
        "stream-resume": False,
        "gap-target-ms": 800,
        **fields,
    }


def configuration(version, routes, keys, max_body_bytes=4194304):
    """Return a configuration; its limits are those of the page's example."""
    services = sorted({each["service"] for each in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": each, "health-path": "/healthz", "max-conns": 300}
            for each in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": max_body_bytes,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [
            {"name": name, "api-keys": list(held)} for name, held in keys.items()
        ],
    }


@dataclass
class Request:
    """A request as a server has read it."""

    method: str
    path: str
    headers: dict
    body: bytes

    @property
    def id(self):
        """Return the id of the attempt."""
        return self.headers.get("x-attempt-id", "")


@dataclass
class Server:
    """A worker of the platform; ``answer`` writes what it answers."""

    name: str
    service: str
    answer: object
    host: str
    version: str = "v1"
    slots: int = 48
    born: int = field(default_factory=lambda: int(time.time() * 1000) - 60000)
    port: int = 0
    read_bytes_per_s: float = 0.0
    arrivals: list = field(default_factory=list)
    listener: object = None

    async def open(self):
        """Listen for channels."""
        self.listener = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self.listener.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            while (
                request := await read_request(reader, self.read_bytes_per_s)
            ) is not None:
                if request.path in ("/healthz", "/v1/report"):
                    await self._answer_check(request, writer)
                    continue
                expected = request.headers.get("x-expect-instance", self.name)
                if expected != self.name:
                    await send(writer, 421, request.id, b"", signed=False)
                    continue
                self.arrivals.append((time.monotonic(), request.id))
                if await self.answer(self, request, reader, writer) is False:
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The case has ended.
            return
        finally:
            with contextlib.suppress(Exception):
                writer.close()

    async def _answer_check(self, request, writer):
        body = b"{}"
        if request.path == "/v1/report":
            body = orjson.dumps(
                {
                    "stage": "colocated",
                    "models": [{"name": "m", "version": 1, "adapters": []}],
                    "busy": False,
                    "sequence": 0,
                    "queued": 0,
                    "active": 0,
                    "kv-used": 0,
                    "kv-total": 444000,
                    "handles": 0,
                    "born": self.born,
                }
            )
        head = (
            f"HTTP/1.1 200 OK\r\nX-Instance-Id: {self.name}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        await writer.drain()


async def read_slowly(reader, size, bytes_per_s):
    """Read a body no faster than a rate; 0 means as fast as it comes."""
    if not bytes_per_s:
        return await reader.readexactly(size)
    parts = []
    while size:
        part = await reader.read(min(size, 65536))
        if not part:
            raise asyncio.IncompleteReadError(b"", size)
        parts.append(part)
        size -= len(part)
        await asyncio.sleep(len(part) / bytes_per_s)
    return b"".join(parts)


async def read_request(reader, body_bytes_per_s=0.0):
    """Read a request; return ``None`` at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, path, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        size = int(headers["content-length"])
        body = await read_slowly(reader, size, body_bytes_per_s)
    elif "chunked" in headers.get("transfer-encoding", ""):
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    return Request(method, path, headers, body)


def sign(request_id, body):
    """Return a signature; only equality matters to the clients here."""
    return f"{request_id}.{len(body)}.{sum(body) % 65521}"


async def send(writer, status, request_id, body, *, signed=True, lines=(), length=True):
    """Send a complete answer of a server."""
    head = [f"HTTP/1.1 {status} Answer", f"X-Attempt-Id: {request_id}", *lines]
    if signed:
        head.append(f"X-Response-Signature: {sign(request_id, body)}")
    if length:
        head.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)
    await writer.drain()


@dataclass
class Answer:
    """What a client has seen; ``end`` tells how it ended."""

    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    end: str = ""
    took_s: float = 0.0


class Client:
    """A client with one channel, which it keeps."""

    def __init__(self, address, source=None):
        self.address = address
        self.source = source
        self.reader = self.writer = None

    async def open(self):
        """Open the channel."""
        self.reader, self.writer = await asyncio.open_connection(*self.address)

    async def ask(self, path, request_id, key, *, wait_s=10.0, body=b"", headers=()):
        """Send a request and read the whole answer; never raises."""
        started_s = time.monotonic()
        answer = Answer()
        try:
            async with asyncio.timeout(wait_s):
                if self.writer is None:
                    await self.open()
                self.writer.write(
                    write_head(path, request_id, key, wait_s, body, headers)
                )
                self.writer.write(body)
                await self.writer.drain()
                await read_answer(self.reader, answer)
                answer.end = answer.end or "complete"
        except TimeoutError:
            answer.end = "time-limit"
        except asyncio.IncompleteReadError:
            answer.end = "closed"
        except OSError as error:
            answer.end = f"reset ({type(error).__name__})"
        answer.took_s = time.monotonic() - started_s
        if answer.end != "complete" or answer.headers.get("connection") == "close":
            self.close()
        return answer

    def close(self):
        """Close the channel."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def write_head(path, request_id, key, wait_s, body, headers=()):
    """Return the head of a client's request."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {request_id}",
        f"X-Deadline-Ms: {int(wait_s * 1000)}",
        f"Authorization: Bearer {key}",
        f"Content-Length: {len(body)}",
        *headers,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


async def read_answer(reader, answer):
    """Read an answer; one without a length ends with its channel."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    answer.status = int(lines[0].split(" ")[1])
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            answer.headers[name.strip().lower()] = value.strip()
    if "content-length" in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
    elif "chunked" in answer.headers.get("transfer-encoding", ""):
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    else:
        while part := await reader.read(65536):
            answer.body += part


@dataclass
class Machine:
    """A machine with one process of the system."""

    name: str
    host: str
    settings: Path
    log: Path
    process: object = None

    @property
    def address(self):
        """Return the address for clients."""
        return self.host, 8000

    async def start(self):
        """Start the command of the deploy file."""
        run = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = run["roles"]["router"]["run"].split()
        command[0] = sys.executable
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/tmp"),
            "JUJUBENOTCH_NODE_FILE": str(self.settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_ready(self, wait_s=START_S):
        """Wait until it says that it is ready."""
        async with asyncio.timeout(wait_s):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    async def is_ready(self):
        """Return whether it says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(self.host, 8001)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            status = await reader.readline()
            writer.close()
            return b" 200 " in status
        except OSError:
            return False

    def signal(self, number):
        """Send a signal to the process."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def end(self):
        """Kill the process, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()

    def read_memory_mb(self):
        """Return the memory of its own; pages of files aren't counted."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        return sum(
            int(line.split()[1]) / 1000 * 1.024
            for line in text.splitlines()
            if line.startswith(("RssAnon:", "RssShmem:"))
        )


class Site:
    """A small deployment on loopback addresses."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.record = self.folder / "record.txt"
        self.record.write_text("")
        self.started_s = time.monotonic()
        self.temporary = tempfile.TemporaryDirectory()
        self.network = f"127.{random.randrange(1, 255)}.{random.randrange(1, 255)}"
        self.store = StoreState()
        self.machines = []
        self.servers = []
        self.runner = None
        self.store_address = None

    def note(self, *words):
        """Write a line of the record."""
        line = f"{time.monotonic() - self.started_s:8.3f} " + " ".join(map(str, words))
        with self.record.open("a") as out:
            out.write(line + "\n")

    async def open_store(self):
        """Start the store."""
        self.runner = web.AppRunner(build_store_app(self.store), shutdown_timeout=0.1)
        await self.runner.setup()
        listener = web.TCPSite(self.runner, f"{self.network}.200", 0)
        await listener.start()
        port = listener._server.sockets[0].getsockname()[1]
        self.store_address = f"{self.network}.200", port

    def configure(self, document):
        """Write a configuration as the operator."""
        write_row(self.store, "op", "config", orjson.dumps(document))

    def add_server(self, name, service, answer, **fields):
        """Make a server, which doesn't listen yet."""
        host = f"{self.network}.{100 + len(self.servers)}"
        server = Server(name, service, answer, host, **fields)
        self.servers.append(server)
        return server

    def publish(self, server, state="ready", sequence=1):
        """Write a server's entry."""
        entry = {
            "service": server.service,
            "address": f"{server.host}:{server.port}",
            "zone": "zone-a",
            "version": server.version,
            "slots": server.slots,
            "state": state,
            "cold-remaining-ms": 0,
            "stage": "colocated",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": sequence,
            "born": server.born,
        }
        write_row(self.store, "servers", server.name, orjson.dumps(entry))

    def unpublish(self, server):
        """Remove a server's entry."""
        delete_row(self.store, "servers", server.name)

    def add_machine(self, store_address=None, **settings):
        """Make a machine, whose process doesn't run yet."""
        number = len(self.machines) + 1
        host = f"{self.network}.{number}"
        name = f"edge-zone-a-{number}"
        folder = Path(self.temporary.name)
        store = store_address or self.store_address
        fields = {
            "node-name": name,
            "role": "router",
            "machine-class": "edge",
            "serves": "edge",
            "ip": host,
            "zone": "zone-a",
            "region": "region",
            "zones.zone-a": "region",
            "listen.frontend": f"{host}:8000",
            "listen.ready": f"{host}:8001",
            "port-range": "7340,7355",
            "bootstrap": "true",
            "limits.cpu-quota": "0.537",
            "limits.cores": "2",
            "limits.memory-mb": "300",
            "limits.max-fds": "4100",
            "heartbeat-ms": "1200",
            "bounds.contact-ms": "3000",
            "bounds.drain-ms": "2000",
            "bounds.grace-s": "8",
            "bounds.config-ms": "2000",
            "bounds.fail-closed": "true",
            "bounds.revoke-ms": "5000",
            "bounds.retry-ratio": "0.2",
            "bounds.retry-window-s": "10",
            "bounds.retry-extra": "54",
            "platform.address": f"{store[0]}:{store[1]}",
            "platform.form": "table",
            **settings,
        }
        path = folder / f"{name}.conf"
        path.write_text("".join(f"{key}={value}\n" for key, value in fields.items()))
        machine = Machine(name, host, path, folder / f"{name}.log")
        self.machines.append(machine)
        return machine

    async def close(self):
        """End all that was started."""
        for machine in self.machines:
            await machine.end()
        for server in self.servers:
            if server.listener is not None:
                server.listener.close()
        if self.runner is not None:
            await self.runner.cleanup()
        if keep := os.environ.get("KEEP_LOGS"):
            for machine in self.machines:
                Path(keep, machine.log.name).write_bytes(machine.log.read_bytes())
        self.temporary.cleanup()


def run(folder, play):
    """Play a case; exit with 1 if the rule was broken and 0 if it held."""

    async def main():
        site = Site(folder)
        try:
            async with asyncio.timeout(112):
                return await play(site)
        except Exception as error:
            site.note("could not run:", repr(error))
            raise
        finally:
            await site.close()

    try:
        is_broken = asyncio.run(main())
    except Exception as error:
        print(f"could not run: {error!r}")
        sys.exit(COULD_NOT_RUN)
    sys.exit(BROKEN if is_broken else HELD)


def free_port(host):
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]
