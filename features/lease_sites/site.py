"""A site of several programs that compete for the lease, with small stand-ins."""

import contextlib
import http.client
import json
import random
import re
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

from aiohttp import web

from features.platform.site import (
    ROOT,
    Site,
    add_upstream,
    call_store,
    list_upstream,
    open_site,
    put_configuration,
    run,
)
from features.scripted_upstream import ScriptedUpstream
from standins.cloud import CloudState, build_cloud_app
from standins.store import copy_store, restore_store, set_fault

LEASE_S = 2.0
START_TIMEOUT_S = 20.0
METRIC = re.compile(r"^(jujubenotch_lease_\w+) (\S+)$", re.MULTILINE)

SETTINGS = """node-name={name}
zone=a
zones.a=1
listen.frontend={host}:8000
listen.ready={host}:8001
platform.address={store}
bounds.fail-closed=true
bounds.revoke-ms=2500
bounds.grace-s=5
{others}
"""
LEASE_SETTINGS = """cloud.address={cloud}
cloud.duties=usage_reporting,autoscaling
cloud.duty-per-s=5
bounds.fencing-enforced=true
bounds.lease-ms=2000
"""
SHARED_SETTINGS = """port-range=9300,9310
bounds.config-ms=4000
bounds.drain-ms=4000
"""


@dataclass(kw_only=True)
class Instance:
    """One program of the site."""

    name: str
    host: str
    log: Path
    process: subprocess.Popen


@dataclass(kw_only=True)
class LeaseSite:
    """The site and its programs, by name."""

    site: Site
    cloud: CloudState
    cloud_address: str = ""
    instances: dict[str, Instance] = field(default_factory=dict)
    copies: list = field(default_factory=list)


@contextlib.contextmanager
def open_lease_site():
    with open_site() as site:
        lease_site = LeaseSite(site=site, cloud=CloudState())
        run(site, _start_cloud(lease_site))
        put_configuration(site)
        add_upstream(site, "up-1", ScriptedUpstream())
        try:
            yield lease_site
        finally:
            for instance in lease_site.instances.values():
                end_instance(instance)


def end_instance(instance):
    if instance.process.poll() is None:
        instance.process.send_signal(signal.SIGCONT)
        instance.process.kill()
        instance.process.wait()


async def _start_cloud(lease_site):
    site = lease_site.site
    runner = web.AppRunner(build_cloud_app(lease_site.cloud), shutdown_timeout=0.1)
    await runner.setup()
    listener = web.TCPSite(runner, site.host, 0)
    await listener.start()
    port = listener._server.sockets[0].getsockname()[1]
    lease_site.cloud_address = f"{site.host}:{port}"
    site.resources.append(runner)


def start_instance(lease_site, name, others):
    site = lease_site.site
    known = lease_site.instances.get(name)
    host = (
        known.host
        if known
        else ".".join(["127", *(str(random.randrange(1, 255)) for _ in range(3))])
    )
    settings = site.directory / f"{name}.conf"
    settings.write_text(
        SETTINGS.format(
            name=name,
            host=host,
            store=f"{site.host}:{site.store_port}",
            others=others.format(cloud=lease_site.cloud_address),
        )
    )
    log = site.directory / f"{name}.log"
    with log.open("ab") as output:
        process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "jujubenotch.platform.program",
                f"--settings={settings}",
            ],
            cwd=ROOT,
            stdout=output,
            stderr=subprocess.STDOUT,
        )
    lease_site.instances[name] = Instance(
        name=name, host=host, log=log, process=process
    )


def read_events(instance, *names):
    lines = [line for line in instance.log.read_text().splitlines() if line[:1] == "{"]
    return [each for each in map(json.loads, lines) if each["event"] in names]


def read_row(lease_site):
    """Return the value of the lease's row, or ``None`` without one."""

    def find(state):
        row = state.rows.get(("leases", "", "platform"))
        return json.loads(row.value) if row else None

    return call_store(lease_site.site, find)


def wait_for(find, timeout_s, what):
    """Wait until a function returns something; return it with the time it took."""
    begin_s = time.monotonic()
    while not (found := find()):
        assert time.monotonic() < begin_s + timeout_s, what
        time.sleep(0.02)
    return found, time.monotonic() - begin_s


def read_metrics(instance):
    connection = http.client.HTTPConnection(instance.host, 9464, timeout=3)
    try:
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
    finally:
        connection.close()
    return {name: float(value) for name, value in METRIC.findall(text)}


def write_change(lease_site):
    """Change the list of upstreams."""
    list_upstream(lease_site.site, "up-1", sequence=time.monotonic_ns())


def take_copy(lease_site):
    lease_site.copies.append(call_store(lease_site.site, copy_store))


def restore_copy(lease_site):
    call_store(lease_site.site, restore_store, lease_site.copies[-1])


def change_fault(lease_site, fault):
    call_store(lease_site.site, set_fault, fault)
