import json
import os
import socket
import subprocess
import sys

from behave import given, then, when

from features.crowds.crowd import CHUNKED, KINDS, make_member, write_chunks
from features.platform.site import (
    ROOT,
    SETTINGS,
    add_upstream,
    answer_correctly,
    call_store,
    open_site,
    read_log,
    send,
    start_program,
    wait_until_ready,
    write_route,
)
from features.platform.steps.endless_steps import read_memory_bytes
from features.platform.upstream_kinds import read_id, write_stream
from features.scripted_upstream import ScriptedUpstream
from standins.store import write_row

BYTES_PER_MB = 1_000_000
LARGE_ANSWER = b"a" * 1_500_000
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Far more than any step takes; no check depends on it.
WAIT_S = 120.0
TIMEOUT_MS = 60_000
BODY_BYTES = 2 * 1024 * 1024


def respond(head):
    path = head.split(b" ")[1]
    if path == b"/read/large":
        return answer_correctly(head, LARGE_ANSWER)
    if path == b"/resume/x":
        return write_stream(head, 1, 3, is_whole=True)
    return answer_correctly(head)


@given(
    "a site with {memory:d} MB of memory, {descriptors:d} descriptors, and bodies of at "
    "most 2 MiB"
)
def open_small_site(context, memory, descriptors):
    site = context.site = context.stack.enter_context(open_site())
    routes = [
        write_route(name, f"/{name}/", kind, **{"timeout-ms": TIMEOUT_MS}, **others)
        for name, kind, others in (
            ("read", "idempotent", {}),
            ("send", "non_idempotent", {}),
            ("resume", "streaming", {"stream-resume": True}),
        )
    ]
    document = {
        "version": 1,
        "routes": routes,
        "services": [{"name": "plain", "health-path": "/h", "max-conns": 100}],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": BODY_BYTES,
            "header-timeout-ms": TIMEOUT_MS,
            "idle-timeout-ms": TIMEOUT_MS,
        },
        "tenants": [{"name": "agents", "api-keys": ["a-key"]}],
    }
    call_store(site, write_row, "op", "config", json.dumps(document).encode())
    upstream = ScriptedUpstream(make_parts=respond, connection_ending="keep")
    add_upstream(site, "i-first", upstream)
    context.upstream = upstream
    limits = f"limits.memory-mb={memory}\nlimits.max-fds={descriptors}\n"
    start_program(site, settings=SETTINGS + limits)
    wait_until_ready(site)


@when("a crowd of {count:d} callers sends {kind} and stays")
def send_crowd(context, count, kind):
    assert kind in KINDS
    command = [sys.executable, "-m", "features.crowds.crowd"]
    crowd = context.crowd = subprocess.Popen(
        [*command, context.site.host, kind, str(count)],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    context.stack.callback(end_crowd, crowd)
    assert crowd.stdout.readline() == "sent\n"


def end_crowd(crowd):
    if crowd.poll() is None:
        crowd.kill()
    crowd.wait()


@then("the instance runs, and has needed at most {size:d} MB of memory")
def check_memory(context, size):
    assert context.site.process.poll() is None, read_log(context.site)[-3000:]
    peak_mb = read_memory_bytes(context.site) / BYTES_PER_MB
    assert peak_mb <= size, peak_mb


@then("it has at most {count:d} descriptors open")
def check_descriptors(context, count):
    opened = len(os.listdir(f"/proc/{context.site.process.pid}/fd"))
    assert opened <= count, opened


@then("an ordinary request is answered")
def check_ordinary(context):
    reply = send(context.site, "/read/x", method="POST", body=b"{}", wait_s=WAIT_S)
    assert (reply.status, reply.body) == (200, b"done"), reply


@when("the crowd leaves")
def leave(context):
    output, _ = context.crowd.communicate()
    context.responses = json.loads(output)


@then("no request that was told as not run has run")
def check_told(context):
    ran = {read_id(head).decode() for head in context.upstream.requests}
    told = [each for each in context.responses if each[1] in NOT_RUN_STATUSES]
    broken = [each for each in told if each[0] in ran]
    assert not broken, broken


@when("the instance is told to stop")
def stop(context):
    context.site.process.terminate()


@then("its process ends by itself")
def check_end(context):
    assert context.site.process.wait(WAIT_S) == 0


@when("a caller sends one body of {size:d} bytes in chunks of {chunk:d}")
def send_one_chunked(context, size, chunk):
    member = make_member(CHUNKED, write_chunks(size, chunk) + b"0\r\n\r\n")
    context.reply = send_raw(context.site, member.sent)


@when("a caller sends one body of {size:d} bytes with its length")
def send_one(context, size):
    member = make_member(f"Content-Length: {size}", b"x" * size)
    context.reply = send_raw(context.site, member.sent)


def send_raw(site, sent):
    with socket.create_connection((site.host, 8000), timeout=WAIT_S) as connection:
        connection.sendall(sent)
        return connection.recv(65536)


@then("it is answered with {status:d}")
def check_one(context, status):
    assert context.reply.startswith(b"HTTP/1.1 %d " % status), context.reply
