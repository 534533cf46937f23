"""Steps about errors that are raised inside of the router."""

import subprocess
import sys

from behave import given, then, when

from features.platform.site import (
    ROOT,
    read_events,
    read_log,
    send,
    wait_until_ready,
    write_settings,
)
from features.platform.steps import site_steps, versions_steps

# The other steps of these features are those of the platform's features.
STEPS = (site_steps, versions_steps)
FIRST_ERROR_STATUS = 500


@given("the router raises an error at call {number:d} of {path}")
def restart_with_error(context, number, path):
    site = context.site
    site.process.kill()
    site.process.wait()
    command = [sys.executable, "-m", "features.fault_sites.failing_program"]
    command += [path, str(number), f"--settings={write_settings(site)}"]
    with (site.directory / "log").open("ab") as log:
        site.process = subprocess.Popen(
            command, cwd=ROOT, stdout=log, stderr=subprocess.STDOUT
        )
    wait_until_ready(site)


@when("a caller requests a resumable stream")
def request_resumable(context):
    context.replies = [send(context.site, "/resume/x", method="POST", body=b"{}")]


@then("the response is an error, or is cut after some of the {count:d} events")
def check_cut(context, count):
    reply = context.replies[0]
    log = read_log(context.site)
    assert "InjectedError" in log, log
    if reply.status >= FIRST_ERROR_STATUS:
        return
    whole = b"".join(b"id: %d\ndata: w%d\n\n" % (n, n) for n in range(1, count + 1))
    assert not reply.is_whole, (reply, log)
    assert whole.startswith(reply.body), (reply, log)
    failed = read_events(context.site, "dispatch-failed")
    assert [each["request_id"] for each in failed] == [reply.headers["x-attempt-id"]]


@then("the next stream is whole")
def check_next(context):
    reply = send(context.site, "/stream/x", method="POST", body=b"{}")
    assert (reply.status, reply.is_whole) == (200, True), read_log(context.site)
    assert reply.body.count(b"data:") == 3, reply
