import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from behave import given, then, when

from features.platform.site import (
    ROOT,
    ROUTES,
    describe_start,
    list_upstream,
    open_site,
    put_configuration,
    read_log,
    send,
    start_program,
    wait_until_listed,
    wait_until_ready,
    write_route,
)
from features.platform.steps.endless_steps import read_memory_bytes

BYTES_PER_MB = 1_000_000
SOUND_INTERVAL_S = 0.05
SOUND_DURATION_S = 4.0
FAULTY_ROUTE = write_route("faulty", "/faulty/", "streaming", service="faulty")


@dataclass(frozen=True, kw_only=True)
class ListedProcess:
    """An upstream in a process of its own."""

    url: str


def start_upstream(context, name, *what, **entry):
    site = context.site
    process = subprocess.Popen(
        [sys.executable, "-m", "features.endless.upstream", site.host, *what],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    context.stack.callback(process.wait)
    context.stack.callback(process.kill)
    port = int(process.stdout.readline())
    site.upstreams[name] = ListedProcess(url=f"http://{site.host}:{port}")
    list_upstream(site, name, **entry)


@given("a site with a sound upstream, and one that sends {what} without end")
def open_many_site(context, what):
    context.site = context.stack.enter_context(open_site())
    put_configuration(
        context.site, routes=(*ROUTES, FAULTY_ROUTE), services=("plain", "faulty")
    )
    start_upstream(context, "i-sound")
    start_upstream(context, "i-faulty", what, service="faulty", slots=200)
    start_program(context.site)
    wait_until_ready(context.site)
    wait_until_listed(context.site, "i-faulty")


def send_quietly(site, path, **options):
    """Send a request; return its status, or 0 when it got no response."""
    try:
        return send(site, path, **options).status
    except OSError:
        return 0


@when(
    "{count:d} requests go to the faulty upstream at once, beside sound ones each 50 ms"
)
def send_many(context, count):
    site = context.site
    sound = []
    with ThreadPoolExecutor(count + 100) as executor:
        for _ in range(count):
            executor.submit(send_quietly, site, "/faulty/x", method="POST", body=b"{}")
        end_s = time.monotonic() + SOUND_DURATION_S
        while time.monotonic() < end_s:
            sound.append(executor.submit(send_quietly, site, "/read/x"))
            time.sleep(SOUND_INTERVAL_S)
    context.statuses = [each.result() for each in sound]


@then("at least {share:d} of {total:d} sound requests were served")
def check_served(context, share, total):
    statuses = context.statuses
    served = statuses.count(200)
    log = describe_start(context.site)[-3000:]
    assert served * total >= len(statuses) * share, (served, statuses, log)


@then("the instance runs, and has needed at most {size:d} MB of memory")
def check_instance(context, size):
    assert context.site.process.poll() is None, read_log(context.site)[-3000:]
    peak_mb = read_memory_bytes(context.site) / BYTES_PER_MB
    assert peak_mb <= size, peak_mb
