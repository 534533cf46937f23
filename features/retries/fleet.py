"""Several instances, and upstreams in processes of their own."""

import collections
import json
import subprocess
import sys
import time
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

from features.platform.site import (
    ROOT,
    ROUTES,
    SETTINGS,
    Site,
    call_store,
    list_upstream,
    send,
    start_program,
    wait_until_logged,
    wait_until_ready,
    write_route,
)
from features.platform.steps.versions_steps import NEIGHBOUR_PORTS, add_instance
from features.retries.upstream import RUNS_SUFFIX
from standins.store import write_row

WAIT_S = 15.0


@dataclass(kw_only=True)
class UpstreamProcess:
    """An upstream that can be stopped; ``journal`` has a line for each arrival."""

    journal: Path
    process: subprocess.Popen
    url: str


@dataclass(kw_only=True)
class RetryFleet:
    """Instances and upstreams, and the calls that were sent to them.

    ``settings`` has the settings of each instance, by its host.
    """

    site: Site
    instances: list[Site] = field(default_factory=list)
    settings: dict[str, str] = field(default_factory=dict)
    upstreams: list[UpstreamProcess] = field(default_factory=list)
    executor: ThreadPoolExecutor = field(default_factory=lambda: ThreadPoolExecutor(64))
    calls: list[Future] = field(default_factory=list)
    idle_timeout_ms: int = 15000
    routes: tuple = ROUTES


def start_upstream(fleet, name, *options):
    upstream = start_process(fleet, name, *options)
    fleet.upstreams.append(upstream)
    fleet.site.upstreams[name] = upstream
    list_upstream(fleet.site, name, slots=48)


def start_process(fleet, name, *options):
    journal = fleet.site.directory / name
    command = [sys.executable, "-m", "features.retries.upstream"]
    process = subprocess.Popen(
        [*command, fleet.site.host, journal, *options],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    port = int(process.stdout.readline())
    return UpstreamProcess(
        journal=journal, process=process, url=f"http://{fleet.site.host}:{port}"
    )


def start_instances(fleet, count, bounds):
    for number in range(1, count + 1):
        view = add_instance(fleet.site, number)
        settings = SETTINGS.replace(
            "{host}:{store_port}", f"{fleet.site.host}:{{store_port}}"
        )
        settings = settings.replace("edge-a-1", f"edge-a-{number}")
        fleet.settings[view.host] = settings + NEIGHBOUR_PORTS + bounds
        start_program(view, settings=fleet.settings[view.host])
        fleet.instances.append(view)
    for view in fleet.instances:
        wait_until_ready(view)
        wait_until_logged(view, "instances-counted")


def restart_instance(fleet, view):
    """Kill an instance, and start it again with an empty log."""
    view.process.kill()
    view.process.wait()
    (view.directory / "log").unlink()
    start_program(view, settings=fleet.settings[view.host])
    wait_until_ready(view)


def put_routes(fleet):
    """Write the configuration, as the fleet has it, in a new version."""
    document = {
        "version": fleet.site.version,
        "routes": list(fleet.routes),
        "services": [{"name": "plain", "health-path": "/h", "max-conns": 100}],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 100000,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": fleet.idle_timeout_ms,
        },
        "tenants": [{"name": "agents", "api-keys": ["a-key"]}],
    }
    fleet.site.version += 1
    call_store(fleet.site, write_row, "op", "config", json.dumps(document).encode())


def change_configuration(fleet, change):
    if change == "idle timeout":
        fleet.idle_timeout_ms -= 3000
    elif change == "route timeout":
        fleet.routes = tuple(
            {**each, "timeout-ms": each["timeout-ms"] - 500} for each in fleet.routes
        )
    else:
        added = write_route("added", "/added/", "idempotent")
        fleet.routes = (*fleet.routes, added)
    put_routes(fleet)


def send_streams(fleet, count):
    for view in fleet.instances:
        for _ in range(count):
            call = fleet.executor.submit(
                send, view, "/resume/x", method="POST", body=b"{}"
            )
            fleet.calls.append(call)


def read_journal(upstream):
    """Return the ids of the requests that arrived at an upstream, in their order."""
    return upstream.journal.read_text().split()


def read_ids(upstream, suffix):
    """Return the ids in one of the files beside an upstream's journal."""
    return Path(f"{upstream.journal}{suffix}").read_text().split()


@dataclass(frozen=True, kw_only=True)
class Run:
    """When an upstream held a request, by the monotonic clock of all processes."""

    request_id: str
    begin_s: float
    end_s: float


def read_runs(fleet):
    """Return the runs of each request at all upstreams, the earliest first."""
    runs = collections.defaultdict(list)
    for upstream in fleet.upstreams:
        for line in Path(f"{upstream.journal}{RUNS_SUFFIX}").read_text().splitlines():
            request_id, begin_s, end_s = line.split()
            run = Run(request_id=request_id, begin_s=float(begin_s), end_s=float(end_s))
            runs[request_id].append(run)
    return {
        request_id: sorted(each, key=lambda run: run.begin_s)
        for request_id, each in runs.items()
    }


def wait_for_runs(fleet):
    """Wait until each run that has begun has ended, and return all runs."""
    end_s = time.monotonic() + WAIT_S
    while True:
        runs = read_runs(fleet)
        if sum(map(len, runs.values())) == count_arrivals(fleet).total():
            return runs
        assert time.monotonic() < end_s, "runs did not end"
        time.sleep(0.02)


def count_arrivals(fleet):
    """Count how often each request arrived at any upstream."""
    return collections.Counter(
        request_id for each in fleet.upstreams for request_id in read_journal(each)
    )


def wait_for_arrivals(fleet, count):
    end_s = time.monotonic() + WAIT_S
    while len(count_arrivals(fleet)) < count:
        assert time.monotonic() < end_s, "requests did not arrive"
        time.sleep(0.02)


def close_fleet(fleet):
    fleet.executor.shutdown(cancel_futures=True)
    for each in [*fleet.upstreams, *fleet.instances]:
        if each.process is not None:
            each.process.kill()
            each.process.wait()
