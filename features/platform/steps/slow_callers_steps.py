"""Steps about callers that read slowly or not at all."""

import socket
import time
from pathlib import Path

from behave import given, then, when

from features.platform.site import HOST, KEY
from features.platform.steps.endless_steps import (
    BYTES_PER_MIB,
    UNFRAMED_STREAM,
    open_site_of,
)
from features.platform.upstream_kinds import read_id

EVENT_BYTES = 1 << 16
EVENTS_PER_PART = 4
RECEIVE_BUFFER_BYTES = 1 << 15
READ_BYTES = 1 << 16
CALLERS_PORT = 8000
REQUEST = (
    "POST /stream/x HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {number:016x}\r\n"
    "Authorization: Bearer {key}\r\nContent-Length: 2\r\n\r\n{{}}"
)


def make_event(number):
    start = b"id: %d\ndata: " % number
    return start + b"x" * (EVENT_BYTES - len(start) - 2) + b"\n\n"


@given("a site that streams {size:d} MiB in events")
def open_streaming_site(context, size):
    context.sent_bytes = {}
    count = size * BYTES_PER_MIB // EVENT_BYTES
    context.expected_bytes = count * EVENT_BYTES

    def make_parts(head):
        request_id = read_id(head)
        yield UNFRAMED_STREAM % request_id
        for start in range(1, count + 1, EVENTS_PER_PART):
            numbers = range(start, min(start + EVENTS_PER_PART, count + 1))
            part = b"".join(make_event(number) for number in numbers)
            yield part
            # The generator goes on once the part has been written.
            sent = context.sent_bytes.get(request_id, 0)
            context.sent_bytes[request_id] = sent + len(part)

    open_site_of(context, make_parts)


def request_stream(context, number):
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    caller.settimeout(10.0)
    caller.connect((context.site.host, CALLERS_PORT))
    request = REQUEST.format(host=HOST, number=number + 1, key=KEY)
    caller.sendall(request.encode())
    context.add_cleanup(caller.close)
    return caller


@when("{count:d} callers request the stream and read nothing for {seconds:d} s")
def request_streams(context, count, seconds):
    context.callers = [request_stream(context, number) for number in range(count)]
    time.sleep(seconds)


@when("a caller reads the stream at {rate:d} MiB a second")
def read_slowly(context, rate):
    caller = request_stream(context, 0)
    context.received = b""
    started_s = time.monotonic()
    try:
        while data := caller.recv(READ_BYTES):
            context.received += data
            due_s = started_s + len(context.received) / (rate * BYTES_PER_MIB)
            time.sleep(max(0.0, due_s - time.monotonic()))
    except OSError as error:
        context.received += f"ended by {error}".encode()


@then("the upstream wrote at most {size:d} MiB for each of them")
def check_written(context, size):
    assert len(context.sent_bytes) == len(context.callers), context.sent_bytes
    largest = max(context.sent_bytes.values())
    assert largest <= size * BYTES_PER_MIB, largest


@then("the instance has closed all of their connections within {seconds:d} s")
def check_closed(context, seconds):
    end_s = time.monotonic() + seconds
    while (left := count_connections(context)) and time.monotonic() < end_s:
        time.sleep(0.1)
    assert not left, f"{left} connections are left"


def count_connections(context):
    """Count the instance's ends of the callers' connections that have a process."""
    ports = {f"{caller.getsockname()[1]:04X}" for caller in context.callers}
    local_port = f"{CALLERS_PORT:04X}"
    inodes = read_inodes(context.site.process.pid)
    count = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        is_callers = fields[1].endswith(local_port) and fields[2][-4:] in ports
        count += is_callers and fields[9] in inodes
    return count


def read_inodes(process_id):
    inodes = set()
    for entry in Path(f"/proc/{process_id}/fd").iterdir():
        try:
            target = str(entry.readlink())
        except OSError:
            continue
        if target.startswith("socket:"):
            inodes.add(target[8:-1])
    return inodes


@then("it gets all of the stream")
def check_whole(context):
    _, _, body = context.received.partition(b"\r\n\r\n")
    end = context.received[-60:]
    assert len(body) == context.expected_bytes, (len(body), end)
