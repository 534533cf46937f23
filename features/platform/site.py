"""A test site: the program, a stand-in of the store and scripted upstreams."""

import asyncio
import contextlib
import http.client
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

from aiohttp import web

from features.scripted_upstream import ScriptedUpstream, serve_scripted_upstream
from standins.store import StoreState, build_store_app, delete_row, write_row

ROOT = Path(__file__).resolve().parents[2]
HOST = "site.example"
KEY = "a-key"
START_TIMEOUT_S = 15.0
CALL_TIMEOUT_S = 12.0
REVOKE_MS = 2500
ID_LINE = re.compile(rb"x-attempt-id: *(\S+)", re.IGNORECASE)

SETTINGS = """node-name=edge-a-1
zone=a
listen.frontend={host}:8000
listen.ready={host}:8001
platform.address={host}:{store_port}
bounds.fail-closed=true
bounds.revoke-ms={revoke_ms}
bounds.grace-s=4
bounds.retry-ratio=0.2
bounds.retry-extra=600
a-name-that-is-not-known=1
"""


def write_route(name, prefix, kind, **others):
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "route-type": kind,
        "timeout-ms": 4000,
        "target-latency-ms": 400,
        "priority": 1,
        "service": "plain",
        "max-attempts": 2,
        "anonymous": False,
        **others,
    }


ROUTES = (
    write_route("read", "/read/", "idempotent"),
    write_route("send", "/send/", "non_idempotent"),
    write_route("stream", "/stream/", "streaming"),
    write_route("resume", "/resume/", "streaming", **{"stream-resume": True}),
    write_route("short", "/short/", "idempotent", **{"timeout-ms": 400}),
)


@dataclass(kw_only=True)
class Site:
    """The parts of one test site and the addresses of its program.

    ``resources`` are closed at the end, the one that was opened last first.
    """

    directory: Path
    host: str
    loop: asyncio.AbstractEventLoop
    state: StoreState
    upstreams: dict[str, ScriptedUpstream] = field(default_factory=dict)
    process: subprocess.Popen | None = None
    store_port: int = 0
    version: int = 1
    resources: list = field(default_factory=list)


@contextlib.contextmanager
def open_site():
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()
    # Each site has its own loopback address, so that sites that run at the same
    # time can use the same ports.
    numbers = [str(random.randrange(1, 255)) for _ in range(3)]
    with tempfile.TemporaryDirectory() as directory:
        site = Site(
            directory=Path(directory),
            host=".".join(["127", *numbers]),
            loop=loop,
            state=StoreState(),
        )
        run(site, _start_store(site))
        try:
            yield site
        finally:
            _close(site)
            loop.call_soon_threadsafe(loop.stop)
            thread.join()


def run(site, work):
    return asyncio.run_coroutine_threadsafe(work, site.loop).result(CALL_TIMEOUT_S)


def call_store(site, function, *arguments):
    async def call():
        return function(site.state, *arguments)

    return run(site, call())


def put_configuration(site, *, keys=(KEY,), routes=ROUTES, services=("plain",)):
    document = {
        "version": site.version,
        "routes": list(routes),
        "services": [
            {"name": each, "health-path": "/h", "max-conns": 100} for each in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 100000,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [
            {"name": "agents", "api-keys": list(keys)},
            {"name": "other", "api-keys": ["another-key"]},
        ],
    }
    site.version += 3
    call_store(site, write_row, "op", "config", json.dumps(document).encode())


def list_upstream(site, name, **others):
    upstream = site.upstreams[name]
    entry = {
        "service": "plain",
        "address": upstream.url.removeprefix("http://"),
        "zone": "a",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "cold-remaining-ms": 0,
        "sequence": 1,
        **others,
    }
    call_store(site, write_row, "servers", name, json.dumps(entry).encode())


def unlist_upstream(site, name):
    call_store(site, delete_row, "servers", name)


def add_upstream(site, name, upstream):
    stack = contextlib.AsyncExitStack()
    site.upstreams[name] = upstream
    run(
        site,
        stack.enter_async_context(serve_scripted_upstream(upstream, host=site.host)),
    )
    site.resources.append(stack)
    list_upstream(site, name)


def answer_correctly(head, body=b"done"):
    found = ID_LINE.search(head)
    request_id = found[1] if found else b"none"
    return (
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Response-Signature: s.1\r\n"
        b"Content-Length: %d\r\n\r\n%b" % (request_id, len(body), body),
    )


def write_settings(site, settings=SETTINGS):
    path = site.directory / "settings.conf"
    path.write_text(
        settings.format(host=site.host, store_port=site.store_port, revoke_ms=REVOKE_MS)
    )
    return path


def start_program(site, *, settings=SETTINGS):
    path = write_settings(site, settings)
    with (site.directory / "log").open("ab") as log:
        site.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "jujubenotch.platform.program",
                f"--settings={path}",
            ],
            cwd=ROOT,
            stdout=log,
            stderr=subprocess.STDOUT,
        )


def wait_until_ready(site):
    end_s = time.monotonic() + START_TIMEOUT_S
    while read_readiness(site) != 200:
        assert time.monotonic() < end_s, describe_start(site)
        time.sleep(0.05)


def describe_start(site):
    """Tell a program that still loads on a busy machine from one that hangs or ended."""
    exit_code = site.process.poll()
    lines = [f"exit code {exit_code}", f"load {Path('/proc/loadavg').read_text()}"]
    if exit_code is None:
        fields = Path(f"/proc/{site.process.pid}/stat").read_text().split()
        ticks = os.sysconf("SC_CLK_TCK")
        lines.append(f"processor time {(int(fields[13]) + int(fields[14])) / ticks} s")
    return "\n".join([*lines, read_log(site)])


def wait_until_listed(site, name, event="upstream-listed"):
    end_s = time.monotonic() + START_TIMEOUT_S
    while name not in {each["upstream"] for each in read_events(site, event)}:
        assert time.monotonic() < end_s, read_log(site)
        time.sleep(0.05)


def wait_until_logged(site, event):
    end_s = time.monotonic() + START_TIMEOUT_S
    while not read_events(site, event):
        assert time.monotonic() < end_s, read_log(site)
        time.sleep(0.05)


def read_readiness(site):
    try:
        return send(site, "/ready", port=8001).status
    except OSError:
        return 0


def read_log(site):
    return (site.directory / "log").read_text()


def read_events(site, name):
    lines = [line for line in read_log(site).splitlines() if line.startswith("{")]
    return [each for each in map(json.loads, lines) if each["event"] == name]


def signal_program(site, number=signal.SIGTERM):
    site.process.send_signal(number)


@dataclass(frozen=True, kw_only=True)
class Reply:
    """The response to a caller; ``is_whole`` is false when the body was truncated."""

    status: int
    headers: dict
    body: bytes
    is_whole: bool


def send(
    site,
    path,
    *,
    port=8000,
    method="GET",
    key=KEY,
    body=None,
    wait_s=CALL_TIMEOUT_S,
    **headers,
):
    connection = http.client.HTTPConnection(site.host, port, timeout=wait_s)
    fields = {"Host": HOST, "X-Attempt-Id": f"{random.getrandbits(64):016x}"}
    if key:
        fields["Authorization"] = f"Bearer {key}"
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    try:
        connection.request(method, path, body=body, headers=fields)
        response = connection.getresponse()
        return _read_reply(response)
    finally:
        connection.close()


def _read_reply(response):
    is_whole = True
    try:
        body = response.read()
    except http.client.IncompleteRead as error:
        body, is_whole = error.partial, False
    return Reply(
        status=response.status,
        headers={name.lower(): value for name, value in response.getheaders()},
        body=body,
        is_whole=is_whole,
    )


def read_to_end(
    host, path, body=b"{}", *, note_received=lambda received: None, extra_head=""
):
    """Request a path, and read to the end of the connection.

    :param extra_head: Further header lines, each with its line end.
    :param note_received: Called with all bytes received so far, after each part.
    :returns: The bytes, and whether the connection ended by a reset.
    """
    received = b""
    with socket.create_connection((host, 8000), timeout=CALL_TIMEOUT_S) as connection:
        connection.sendall(
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: id-1\r\n"
            f"Authorization: Bearer {KEY}\r\n{extra_head}"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        try:
            while part := connection.recv(65536):
                received += part
                note_received(received)
        except ConnectionResetError:
            return received, True
    return received, False


async def _start_store(site):
    runner = web.AppRunner(build_store_app(site.state), shutdown_timeout=0.1)
    await runner.setup()
    listener = web.TCPSite(runner, site.host, 0)
    await listener.start()
    site.store_port = listener._server.sockets[0].getsockname()[1]
    site.resources.append(runner)


def _close(site):
    if site.process is not None and site.process.poll() is None:
        site.process.kill()
        site.process.wait()
    for resource in reversed(site.resources):
        closing = (
            resource.aclose() if hasattr(resource, "aclose") else resource.cleanup()
        )
        run(site, closing)
    run(site, _cancel_tasks())


async def _cancel_tasks():
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
