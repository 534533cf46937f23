import http.client
import signal
import threading
import time
from types import SimpleNamespace

from behave import given, then, when

from features.lease_sites.site import (
    LEASE_SETTINGS,
    SHARED_SETTINGS,
    START_TIMEOUT_S,
    open_lease_site,
    read_events,
    restore_copy,
    start_instance,
    take_copy,
    wait_for,
)
from features.platform.site import answer_correctly, send
from features.platform.upstream_kinds import (
    LAST_CHUNK,
    STREAM_HEAD,
    read_id,
    write_status,
)

NAMES = ("edge-1", "edge-2")
WINDOW_S = 2.0
LATE_S = 10.0
USAGE_SETTINGS = """bounds.report-window-s=2
bounds.usage-late-s=10
port-range=9300,9310
"""
EVENT = b"id: %d\ndata: x\n\n"
KINDS = {
    "that read for themselves, which report usage": LEASE_SETTINGS + USAGE_SETTINGS,
    "that share a reader, which report usage": LEASE_SETTINGS
    + USAGE_SETTINGS
    + SHARED_SETTINGS,
    "that share a reader and report nothing": SHARED_SETTINGS,
}


def answer(head):
    if b"/stream/" in head or b"/resume/" in head:
        event = EVENT % (2 if b"/resume/" in head else 1)
        body = b"%x\r\n%b\r\n" % (len(event), event)
        return STREAM_HEAD % read_id(head), body, LAST_CHUNK
    if b"/send/" in head:
        return write_status(head, b"503 Busy", b"X-Not-Executed: true\r\n")
    return answer_correctly(head)


def start_site(context, kind):
    context.lease_site = context.stack.enter_context(open_lease_site())
    upstream = context.lease_site.site.upstreams["up-1"]
    upstream.make_parts = answer
    upstream.connection_ending = "keep"
    for name in NAMES:
        start_instance(context.lease_site, name, KINDS[kind])
    for instance in find_instances(context):
        wait_for(
            lambda instance=instance: read_status(instance) == 200,
            START_TIMEOUT_S,
            instance.log.read_text(),
        )
        wait_for(
            lambda instance=instance: read_events(instance, "upstream-listed"),
            START_TIMEOUT_S,
            instance.log.read_text(),
        )


@given("a site of 2 programs {kind}")
def give_site(context, kind):
    start_site(context, kind)
    if "report nothing" in kind:
        return
    wait_for(lambda: find_holder(context), START_TIMEOUT_S, "nobody reports usage")
    if "share" in kind:
        for instance in find_instances(context):
            wait_for(
                lambda instance=instance: read_events(
                    instance, "usage-receiver-changed", "usage-reporting-begun"
                ),
                START_TIMEOUT_S,
                instance.log.read_text(),
            )


def find_instances(context):
    return list(context.lease_site.instances.values())


def read_status(instance):
    try:
        return send(instance, "/ready", port=8001).status
    except OSError:
        return 0


def find_holder(context):
    for instance in find_instances(context):
        events = read_events(instance, "usage-reporting-begun", "lease-ended")
        if events and events[-1]["event"] == "usage-reporting-begun":
            return instance
    return None


def call(instance, path, **others):
    target = SimpleNamespace(host=instance.host)
    return send(target, path, **others)


@when(
    "callers send {plain:d} plain requests and 10 streams, of which 3 are resumed, to both"
)
def send_requests(context, plain):
    for number in range(plain):
        instance = find_instances(context)[number % 2]
        assert call(instance, "/read/x").status == 200
    for number in range(10):
        instance = find_instances(context)[number % 2]
        headers = {"Last-Event-Id": "1"} if number < 3 else {}
        path = "/resume/x" if number < 3 else "/stream/x"
        reply = call(instance, path, method="POST", body=b"", **headers)
        assert reply.status == 200 and reply.is_whole, reply


@when("callers send {plain:d} plain requests to both")
def send_plain(context, plain):
    for number in range(2 * plain):
        call(find_instances(context)[number % 2], "/read/x")


@when("callers send 5 requests that no upstream runs and 5 with a wrong key")
def send_refused(context):
    for number in range(5):
        instance = find_instances(context)[number % 2]
        assert call(instance, "/send/x", method="POST", body=b"").status == 503
        assert call(instance, "/read/x", key="unknown").status in (401, 403)


def find_reports(context):
    """Return the different counts of each window, and how often they were sent."""
    reports = {}
    for each in list(context.lease_site.cloud.calls):
        if each.subject[0] == "/usage":
            counts = tuple(sorted(each.body["counts"].items()))
            sent = reports.setdefault(each.body["window-id"], {})
            sent[counts] = sent.get(counts, 0) + 1
    return reports


@then('the reports of the windows add up to {count:d} requests of the team "{team}"')
def check_sum(context, count, team):
    time.sleep(WINDOW_S + 3.5 + 1.0)
    wait_for(lambda: len(find_reports(context)) >= 3, 10, "windows are not reported")
    reports = find_reports(context)
    counts = [dict(next(iter(sent))) for sent in reports.values()]
    assert sum(each.get(team, 0) for each in counts) == count, counts
    assert all(each.keys() <= {team} for each in counts), counts


@then("each window was reported once, in time")
def check_once(context):
    reports = find_reports(context)
    assert set(reports) == set(range(min(reports), max(reports) + 1)), reports
    assert all(sum(sent.values()) == 1 for sent in reports.values()), reports
    for instance in find_instances(context):
        for event in read_events(instance, "usage-window-sent"):
            assert event["late_s"] < LATE_S, event


@then("a window was reported more than once")
def check_repeated(context):
    reports = find_reports(context)
    assert any(sum(sent.values()) > 1 for sent in reports.values()), reports


@then("no window was reported with different counts")
def check_same(context):
    reports = find_reports(context)
    assert reports and all(len(sent) == 1 for sent in reports.values()), reports


@when("the API answers nothing for {length:g} s while callers send requests")
def lose_answers(context, length):
    cloud = context.lease_site.cloud
    wait_for(lambda: len(find_reports(context)) >= 1, 15, "no window was reported")
    cloud.is_silent = True
    sender = threading.Thread(target=send_for, args=(context, length + 3.0))
    sender.start()
    time.sleep(length)
    cloud.is_silent = False
    sender.join()
    time.sleep(4)


@when("the holder is suspended for {length:g} s while callers send requests")
def suspend_holder(context, length):
    def suspend():
        holder = find_holder(context).process
        holder.send_signal(signal.SIGSTOP)
        time.sleep(length)
        holder.send_signal(signal.SIGCONT)

    cause_fault(context, suspend)


@when("the store is restored from {age:g} s ago while callers send requests")
def restore_store(context, age):
    def restore():
        take_copy(context.lease_site)
        time.sleep(age)
        restore_copy(context.lease_site)

    cause_fault(context, restore)


def cause_fault(context, cause):
    wait_for(lambda: len(find_reports(context)) >= 1, 15, "no window was reported")
    instances = find_instances(context)
    holder = find_holder(context)
    others = [each for each in instances if each is not holder]
    sender = threading.Thread(target=send_for, args=(context, 9.0, others))
    sender.start()
    cause()
    context.last_window = max(find_reports(context))
    sender.join()


@then("further windows are reported")
def check_further(context):
    wait_for(
        lambda: max(find_reports(context)) > context.last_window + 1,
        15,
        "no further window was reported",
    )


def send_for(context, length_s, instances=None):
    end_s = time.monotonic() + length_s
    while time.monotonic() < end_s:
        for instance in instances or find_instances(context):
            call(instance, "/read/x")
        time.sleep(0.05)


@when("the holder is killed while the API has its report but has not answered")
def kill_holder(context):
    cloud = context.lease_site.cloud
    wait_for(lambda: len(find_reports(context)) >= 1, 15, "no window was reported")
    send_plain(context, 10)
    cloud.is_silent = True
    known = len(cloud.calls)
    wait_for(lambda: len(cloud.calls) > known, 5, "no window was reported")
    context.window = cloud.calls[known].body["window-id"]
    context.counts = cloud.calls[known].body["counts"]
    context.killed = find_holder(context)
    context.killed.process.kill()
    context.killed.process.wait()
    cloud.is_silent = False
    # What the successor would count itself differs.
    other = next(each for each in find_instances(context) if each is not context.killed)
    context.other = other


@then("the other program reports that window with the same counts")
def check_successor(context):
    def find():
        return [
            each
            for each in context.lease_site.cloud.calls
            if each.holder == context.other.name
            and each.body.get("window-id") == context.window
        ]

    found, _ = wait_for(find, 8, "the window was not reported again")
    assert found[0].body["counts"] == context.counts


@then("{length:g} s later no message with counts was sent")
def check_silent(context, length):
    time.sleep(length)
    for instance in find_instances(context):
        connection = http.client.HTTPConnection(instance.host, 9464, timeout=3)
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
        connection.close()
        assert "jujubenotch_neighbour_messages_total{" in text
        assert 'kind="reports"' not in text, text
