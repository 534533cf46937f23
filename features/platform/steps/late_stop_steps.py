import http.client
import random
import re
import threading
import time
from dataclasses import dataclass

from behave import given, then, when

from features.platform.site import (
    HOST,
    ID_LINE,
    KEY,
    ROUTES,
    add_upstream,
    open_site,
    put_configuration,
    signal_program,
    start_program,
    wait_until_logged,
    wait_until_ready,
)
from features.scripted_upstream import ScriptedUpstream

GRACE_S = 4.0
TENTHS = 10
TIMEOUT_S = 6.0
IN_PROGRESS_S = 0.2
REQUESTS = (
    ("GET", "/read/x"),
    ("POST", "/send/x"),
    ("POST", "/stream/x"),
    ("POST", "/resume/x"),
)
PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})
DEADLINE_LINE = re.compile(rb"x-deadline-ms: *(\d+)", re.IGNORECASE)


@dataclass(kw_only=True)
class Outcome:
    """What one caller got; ``status`` is ``None`` without a response."""

    request_id: str
    path: str
    sent_s: float
    status: int | None = None
    error: str = ""


def begin_streams(head):
    if b"/stream/" not in head and b"/resume/" not in head:
        return ()
    request_id = ID_LINE.search(head)[1]
    return (
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Response-Signature: s.1\r\n"
        b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"e\r\nid: 1\ndata: a\n\n\r\n" % request_id,
    )


@given("a site whose upstream answers nothing, or only the first event of a stream")
def open_silent_site(context):
    context.site = context.stack.enter_context(open_site())
    put_configuration(context.site)
    upstream = ScriptedUpstream(make_parts=begin_streams, connection_ending="silent")
    add_upstream(context.site, "i-first", upstream)
    start_program(context.site)
    wait_until_ready(context.site)
    context.outcomes = []


@given("a site whose upstream answers nothing, on routes that allow {timeout_s:d} s")
def open_patient_site(context, timeout_s):
    context.site = context.stack.enter_context(open_site())
    routes = [{**each, "timeout-ms": timeout_s * 1000} for each in ROUTES]
    put_configuration(context.site, routes=routes)
    upstream = ScriptedUpstream(make_parts=lambda head: (), connection_ending="silent")
    add_upstream(context.site, "i-first", upstream)
    start_program(context.site)
    wait_until_ready(context.site)
    wait_until_logged(context.site, "instances-counted")
    context.outcomes = []


def connect(context):
    connection = http.client.HTTPConnection(context.site.host, 8000, timeout=TIMEOUT_S)
    connection.connect()
    return connection


def ask(context, method, path, connection=None):
    request_id = f"{random.getrandbits(64):016x}"
    outcome = Outcome(request_id=request_id, path=path, sent_s=time.monotonic())
    context.outcomes.append(outcome)
    headers = {
        "Host": HOST,
        "X-Attempt-Id": request_id,
        "Authorization": f"Bearer {KEY}",
        "X-Deadline-Ms": "10000",
    }
    try:
        connection = connection or connect(context)
        connection.request(method, path, headers=headers)
        response = connection.getresponse()
        outcome.status = response.status
        response.read()
    except (OSError, http.client.HTTPException) as error:
        outcome.error = repr(error)
    finally:
        if connection is not None:
            connection.close()


def start_all(context, requests, delay_s=0.0, connections=None):
    connections = connections or [None] * len(requests)
    threads = []
    for (method, path), connection in zip(requests, connections, strict=True):
        thread = threading.Thread(target=ask, args=(context, method, path, connection))
        thread.start()
        threads.append(thread)
    time.sleep(delay_s)
    return threads


@when(
    "the program is stopped and requests of each kind come at each tenth of the grace "
    "period on {which} connections"
)
def ask_through_stop(context, which):
    connections = [None] * TENTHS
    if which == "kept":
        connections = [[connect(context) for _ in REQUESTS] for _ in range(TENTHS)]
    signal_program(context.site)
    context.stopped_s = time.monotonic()
    threads = []
    for number in range(TENTHS):
        threads += start_all(context, REQUESTS, GRACE_S / TENTHS, connections[number])
    for thread in threads:
        thread.join()


@when("requests of each kind are in progress and the program is stopped")
def stop_in_progress(context):
    threads = start_all(context, REQUESTS, 0.5)
    signal_program(context.site)
    context.stopped_s = time.monotonic()
    for thread in threads:
        thread.join()


def find_reached(context):
    heads = context.site.upstreams["i-first"].requests
    return {ID_LINE.search(head)[1].decode() for head in heads}


@when("an idempotent request is in progress and the program is stopped")
def stop_one_in_progress(context):
    threads = start_all(context, [("GET", "/read/x")], IN_PROGRESS_S)
    signal_program(context.site)
    context.stopped_s = time.monotonic()
    for thread in threads:
        thread.join()


@then("the upstream got the request twice")
def check_sent_again(context):
    heads = context.site.upstreams["i-first"].requests
    assert len(heads) == 2 and len(find_reached(context)) == 1, heads


@then(
    "each request that reached the upstream got a response that does not promise that "
    "it has not run"
)
def check_reached(context):
    reached = find_reached(context)
    outcomes = [each for each in context.outcomes if each.request_id in reached]
    assert len(outcomes) >= len(REQUESTS), context.outcomes
    wrong = [
        (round(each.sent_s - context.stopped_s, 2), each)
        for each in outcomes
        if each.status is None or each.status in PROMISES_NOT_RUN
    ]
    assert not wrong, (len(wrong), len(outcomes), wrong)


@then("each other one got the promise that it has not run, or was never read")
def check_others(context):
    reached = find_reached(context)
    others = [each for each in context.outcomes if each.request_id not in reached]
    assert all(each.status in PROMISES_NOT_RUN or each.error for each in others), others


@then("each upstream was told no deadline after the end of the grace period")
def check_deadlines(context):
    upstream = context.site.upstreams["i-first"]
    ends = [
        arrived_s + int(DEADLINE_LINE.search(head)[1]) / 1000 - context.stopped_s
        for head, arrived_s in zip(upstream.requests, upstream.arrivals_s, strict=True)
        if arrived_s > context.stopped_s + 0.1
    ]
    assert all(end_s <= GRACE_S for end_s in ends), ends
