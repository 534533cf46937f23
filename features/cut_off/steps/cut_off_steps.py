import http.client
import random
import re
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from behave import given, then, when

from features.platform.paths import (
    MANY_EVENTS,
    Path,
    RecordingUpstream,
    count_runs,
    cut_path,
    list_path,
    open_path,
    start_own_store,
    start_recording_upstream,
)
from features.platform.site import (
    CALL_TIMEOUT_S,
    HOST,
    KEY,
    call_store,
    open_site,
    put_configuration,
    read_log,
    read_to_end,
    run,
    send,
    wait_until_ready,
)
from features.platform.steps import endless_steps, site_steps
from features.platform.steps.versions_steps import (
    add_instance,
    start_instance,
    stop_instance,
)
from standins.store import set_fault

# The other steps of these features are those of the platform's features.
STEPS = (endless_steps, site_steps)
CALLERS = 48
PATHS = ("/send/x", "/read/x", "/resume/x")
ONCE = "/send/x"
HELP_PORT = 7340
EVENT_ID = re.compile(rb"id: (\d+)")


EARLY_HEAD = (
    b"HTTP/1.1 %b\r\nX-Attempt-Id: %%b\r\nX-Response-Signature: s.1\r\n%b\r\n%b"
)
EARLY_ANSWERS = {
    "a part of a 200 without a length": EARLY_HEAD % (b"200 OK", b"", b"half"),
    "the status 000 and a length": EARLY_HEAD
    % (b"000 None", b"Content-Length: 4\r\n", b"none"),
    "a stream without a length and an event": EARLY_HEAD
    % (b"200 OK", b"Content-Type: text/event-stream\r\n", b"id: 1\ndata: w1\n\n"),
}


@dataclass(frozen=True, kw_only=True)
class Try:
    instance: int
    request_id: str
    path: str
    sent_s: float
    took_s: float
    status: int
    outcome: str
    is_whole: bool
    content: bytes = b""


@given("a site of {count:d} instances with paths to {upstreams:d} upstreams")
def open_site_with_paths(context, count, upstreams):
    site = context.stack.enter_context(open_site())
    context.site = site
    context.upstreams = [
        RecordingUpstream(name=f"u-{each}") for each in range(upstreams)
    ]
    for upstream in context.upstreams:
        run(site, start_recording_upstream(site.host, upstream))
    context.instances = [add_instance(site, number) for number in range(1, count + 1)]
    context.paths = []
    for number, view in enumerate(context.instances, 1):
        run(site, start_own_store(view))
        site.resources.extend(view.resources)
        put_configuration(view)
        context.paths.append(
            [_make_path(site, view, each) for each in context.upstreams]
        )
        context.stack.callback(stop_instance, view)
        start_instance(view, number, view.host)
    for view in context.instances:
        wait_until_ready(view)
    # Callers come when all instances are known to the store.
    time.sleep(1.0)
    context.tries = []
    context.cut = 0
    context.cut_s = time.monotonic()


def _make_path(site, view, upstream):
    path = Path(host=view.host, target=(site.host, upstream.port))
    run(site, open_path(path))
    list_path(view, upstream, path)
    return path


@when("the paths of {count:d} instance are cut so that a connection {how:w}")
@when("the paths of {count:d} instances are cut so that a connection {how:w}")
def cut_paths(context, count, how):
    _send_at_rate(context, 20, 1.0)
    context.cut = count
    context.cut_s = time.monotonic()
    for paths in context.paths[:count]:
        for path in paths:
            run(context.site, cut_path(path, how))


@when(
    "the paths of {count:d} instance are cut so that a connection {how:w}, and its store "
    "is away for {away_s:g} s"
)
def cut_paths_and_store(context, count, how, away_s):
    cut_paths(context, count, how)
    views = context.instances[:count]
    for view in views:
        call_store(view, set_fault, "unavailable")

    def end_faults():
        for view in views:
            call_store(view, set_fault, "")

    timer = threading.Timer(away_s, end_faults)
    timer.start()
    context.stack.callback(timer.join)


@when(
    "callers read {streams:d} streams at {count:d} instance whose paths are cut so "
    "that a connection {how:w}"
)
def read_streams(context, streams, count, how):
    view = context.instances[0]
    _send_at_rate(context, 20, 1.0)
    with ThreadPoolExecutor(streams) as executor:
        reading = [
            executor.submit(send, view, "/resume/x", method="POST", body=b"many events")
            for _ in range(streams)
        ]
        # The streams have begun.
        time.sleep(0.5)
        for path in context.paths[0]:
            run(context.site, cut_path(path, how))
        _send_at_rate(context, 20, 4.0)
        context.stream_replies = [each.result() for each in reading]


@then("each of these streams is whole")
def check_whole_streams(context):
    expected = [str(number).encode() for number in range(1, MANY_EVENTS + 1)]
    for reply in context.stream_replies:
        numbers = EVENT_ID.findall(reply.body)
        log = read_log(context.instances[0])[-2000:]
        assert reply.is_whole and numbers == expected, (reply, log)


@when("the paths are back")
def restore_paths(context):
    for paths in context.paths[: context.cut]:
        for path in paths:
            run(context.site, open_path(path))


@when("callers send {rate:d} requests a second to each instance for {seconds:d} s")
def send_at_rate(context, rate, seconds):
    _send_at_rate(context, rate, seconds)


def _send_at_rate(context, rate, seconds):
    start_s = time.monotonic()
    context.last_sent_s = start_s
    pending = []
    total = int(rate * seconds)
    with ThreadPoolExecutor(CALLERS) as executor:
        for number in range(total):
            time.sleep(max(0.0, start_s + number / rate - time.monotonic()))
            for instance in range(len(context.instances)):
                path = PATHS[(number + instance) % len(PATHS)]
                pending.append(executor.submit(send_try, context, instance, path))
    context.tries += [each.result() for each in pending]


def send_try(context, instance, path, body=b"content"):
    request_id = f"{random.getrandbits(64):016x}"
    view = context.instances[instance]
    connection = http.client.HTTPConnection(view.host, 8000, timeout=CALL_TIMEOUT_S)
    headers = make_headers(request_id)
    sent_s = time.monotonic()
    status, outcome, content, is_whole = 0, "", b"", False
    try:
        connection.request("POST", path, body=body, headers=headers)
        response = connection.getresponse()
        status = response.status
        outcome = response.getheader("X-Jujubenotch-Outcome") or ""
        content = response.read()
        is_whole = True
    except (OSError, http.client.HTTPException):
        is_whole = False
    finally:
        connection.close()
    return Try(
        instance=instance,
        request_id=request_id,
        path=path,
        sent_s=sent_s,
        took_s=time.monotonic() - sent_s,
        status=status,
        outcome=outcome,
        is_whole=is_whole,
        content=content,
    )


def make_headers(request_id):
    return {
        "Host": HOST,
        "X-Attempt-Id": request_id,
        "X-Deadline-Ms": "4000",
        "Authorization": f"Bearer {KEY}",
    }


def check_share(tries, share, context):
    served = [each for each in tries if each.status == 200 and each.is_whole]
    failed = [each for each in tries if each not in served]
    assert tries and 100 * len(served) >= share * len(tries), (
        len(served),
        len(tries),
        failed[:3],
        read_log(context.instances[0])[-3000:],
    )


@then(
    "at least {share:d} in 100 first tries sent later than {delay_s:g} s after the cut "
    "were served"
)
def check_served(context, share, delay_s):
    late = [each for each in context.tries if each.sent_s > context.cut_s + delay_s]
    for instance in range(len(context.instances)):
        check_share(
            [each for each in late if each.instance == instance], share, context
        )


@then("at least {share:d} in 100 of the last requests were served")
def check_last_served(context, share):
    check_share(find_last(context), share, context)


def find_last(context):
    return [each for each in context.tries if each.sent_s >= context.last_sent_s]


@then("no request ran twice that may run once")
def check_runs(context):
    runs = count_runs(context.upstreams)
    once = [each.request_id for each in context.tries if each.path == ONCE]
    twice = [each for each in once if runs.get(each, 0) > 1]
    assert not twice, twice


@then("no request that was refused as not run has run")
def check_refusals(context):
    runs = count_runs(context.upstreams)
    refused = [
        each
        for each in context.tries
        if each.status in (429, 503) or each.outcome == "not-run"
    ]
    ran = [each for each in refused if each.request_id in runs]
    assert not ran, ran[:3]


@then("each request reached upstreams with its team and without its key")
def check_heads(context):
    heads = [head for upstream in context.upstreams for head in upstream.heads]
    assert heads
    for head in heads:
        assert b"\r\nx-tenant: agents\r\n" in head.lower(), head
        assert KEY.encode() not in head, head


@then("the instances that were cut off sent the last requests by their own paths")
def check_own_paths(context):
    upstreams = context.upstreams
    last = {each.request_id for each in find_last(context) if each.instance == 0}
    assert last & set(count_runs(upstreams))
    log = read_log(context.instances[1])
    borrowed = [each for each in last if each in log]
    assert not borrowed, len(borrowed)


@then(
    "each request sent later than {delay_s:g} s after the cut got the status {status:d} "
    "within {bound_s:g} s"
)
def check_refused(context, delay_s, status, bound_s):
    late = [each for each in context.tries if each.sent_s > context.cut_s + delay_s]
    slow = [each for each in late if each.status != status or each.took_s > bound_s]
    assert late and not slow, (len(slow), len(late), slow[:3])


@when("a caller of an instance that is cut off leaves a long stream after 2 events")
def leave_stream(context):
    context.left_id = f"{random.getrandbits(64):016x}"
    view = context.instances[0]
    connection = http.client.HTTPConnection(view.host, 8000, timeout=CALL_TIMEOUT_S)
    headers = make_headers(context.left_id)
    connection.request("POST", "/resume/x", body=b"long", headers=headers)
    response = connection.getresponse()
    assert response.status == 200, (response.status, read_log(view)[-2000:])
    content = b""
    while content.count(b"id:") < 2:
        content += response.read1()
    response.close()
    connection.close()


@then("the upstream's connection for that stream is closed within {bound_s:g} s")
def check_left(context, bound_s):
    time.sleep(bound_s)
    left = [each for upstream in context.upstreams for each in upstream.left]
    assert context.left_id in left, left


@given("the responses of the upstreams have no length")
def remove_lengths(context):
    for upstream in context.upstreams:
        upstream.is_unframed = True


@given("the upstreams answer the head of each upload with {answer}")
def answer_early(context, answer):
    for upstream in context.upstreams:
        upstream.early_answer = EARLY_ANSWERS[answer]


@when("a caller of the instance that is cut off uploads {size_kb:d} kB to {path:S}")
def upload(context, size_kb, path):
    context.received, context.was_reset = read_to_end(
        context.instances[0].host,
        path,
        b"b" * (size_kb * 1000),
        extra_head="Connection: close\r\n",
    )


@when("a caller of the instance that is cut off requests {path:S}, {what}")
def request_unframed(context, path, what):
    helper = context.instances[1].process
    is_killed = what.endswith("is killed")

    def note_received(received):
        if is_killed and b"id: 1" in received:
            helper.kill()

    context.received, context.was_reset = read_to_end(
        context.instances[0].host,
        path,
        b"reset" if what.endswith("resets") else b"all",
        note_received=note_received,
        # An error response has a length, so the connection would stay open after it.
        extra_head="Connection: close\r\n" if path == ONCE else "",
    )


@then("the caller got the status {status:d} and {count:d} events")
def check_unframed(context, status, count):
    log = read_log(context.instances[0])[-3000:]
    received = context.received
    assert received.startswith(b"HTTP/1.1 %d " % status), (received, log)
    events = received.count(b"data: w")
    assert events == count or context.was_reset and events >= count, (received, log)


@when("a stranger sends a borrowed request to the other instance")
def send_as_stranger(context):
    context.stranger_id = "00000000000000ee"
    view = context.instances[1]
    connection = http.client.HTTPConnection(view.host, HELP_PORT, timeout=2.0)
    try:
        connection.request(
            "POST", "/", body=b"{}", headers=make_headers(context.stranger_id)
        )
        context.stranger_status = connection.getresponse().status
    except (OSError, http.client.HTTPException) as error:
        context.stranger_status = type(error).__name__
    finally:
        connection.close()


@then("the stranger is refused and no upstream got its request")
def check_stranger(context):
    assert context.stranger_status in (403, "RemoteDisconnected"), (
        context.stranger_status
    )
    assert context.stranger_id not in count_runs(context.upstreams)
