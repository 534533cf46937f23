import asyncio
import builtins
import re
import signal
import time

from behave import given, then, when

from features.platform.site import (
    KEY,
    SETTINGS,
    add_upstream,
    call_store,
    list_upstream,
    open_site,
    put_configuration,
    read_events,
    read_log,
    read_readiness,
    send,
    signal_program,
    start_program,
    wait_until_listed,
    wait_until_logged,
    wait_until_ready,
    write_settings,
)
from features.platform.upstream_kinds import make_upstream
from jujubenotch.forwarding import SourceError
from jujubenotch.platform.store import StoreClient, make_upstream_source
from jujubenotch.settings import Address
from standins.store import (
    copy_store,
    drop_history,
    restore_store,
    set_fault,
    silence_long_polls,
    write_row,
)

CREDIT_LIFETIME_S = 5.0
RESERVED_HEADERS = {
    "X-Tenant": "other",
    "X-Expect-Instance": "i-other",
    "X-Cache-Retention": "r-1",
    "X-Pin-Ms": "4000",
    "X-Kv-Backup": "127.0.0.1:1",
    "Kv-From": "127.0.0.1:1/h",
    "X-Expect-Version": "9",
}


@given("a site whose upstream {kind}")
def open_site_with_upstream(context, kind):
    context.site = context.stack.enter_context(open_site())
    put_configuration(context.site)
    add_upstream(context.site, "i-first", make_upstream(kind))
    start_program(context.site)
    wait_until_ready(context.site)
    # Before, it has no share of the repeats of all instances.
    wait_until_logged(context.site, "instances-counted")


@given("a site that may repeat {extra:d} requests in 10 s, whose upstream {kind}")
def open_site_with_few_repeats(context, extra, kind):
    context.site = context.stack.enter_context(open_site())
    put_configuration(context.site)
    add_upstream(context.site, "i-first", make_upstream(kind))
    settings = SETTINGS.replace("retry-ratio=0.2", "retry-ratio=0")
    start_program(context.site, settings=settings + f"bounds.retry-extra={extra}\n")
    wait_until_ready(context.site)
    wait_until_logged(context.site, "instances-counted")
    # Time adds no more credit after this.
    time.sleep(CREDIT_LIFETIME_S)


@given("another upstream that {kind}")
def add_another(context, kind):
    add_upstream(context.site, "i-second", make_upstream(kind))
    wait_until_listed(context.site, "i-second")


@given('a site whose settings have the line "{line}"')
def open_site_with_setting(context, line):
    context.site = context.stack.enter_context(open_site())
    start_program(context.site, settings=SETTINGS + line + "\n")


@given("a site whose settings name an address without a store")
def open_site_without_store(context):
    context.site = context.stack.enter_context(open_site())
    put_configuration(context.site)
    add_upstream(context.site, "i-first", make_upstream("answers correctly"))
    start_program(context.site, settings=SETTINGS.replace("{store_port}", "1"))
    wait_until_logged(context.site, "instance-started")


@given("a site whose store takes {seconds:g} s to send a response")
def open_site_with_slow_store(context, seconds):
    context.site = context.stack.enter_context(open_site())
    context.site.state.transfer_s = seconds
    put_configuration(context.site)
    add_upstream(context.site, "i-first", make_upstream("answers correctly"))
    start_program(context.site, settings=SETTINGS.replace("{revoke_ms}", "30000"))
    wait_until_ready(context.site)
    wait_until_listed(context.site, "i-first")


@when("the settings are corrected {how}")
def correct_settings(context, how):
    write_settings(context.site)
    if how == "with a signal":
        signal_program(context.site, signal.SIGHUP)


@when("the store is {fault}")
def set_store_fault(context, fault):
    call_store(context.site, set_fault, "" if fault == "available" else fault)


@when("the change feed of the list becomes silent")
def silence_change_feed(context):
    call_store(context.site, silence_long_polls, "servers")


@when("the store's history is dropped")
def drop_store_history(context):
    call_store(context.site, drop_history)


@when("a copy of the store is made")
def copy_store_rows(context):
    context.copy = call_store(context.site, copy_store)


@when("the copy of the store is restored")
def restore_store_rows(context):
    call_store(context.site, restore_store, context.copy)


@when("a configuration without the key is written")
def revoke_key(context):
    put_configuration(context.site, keys=("some-other-key",))


@when("the configuration is written again")
def rewrite_configuration(context):
    put_configuration(context.site)


@when("{seconds:g} s pass")
def pass_time(context, seconds):
    time.sleep(seconds)


@when("the first upstream is leaving")
def mark_upstream_leaving(context):
    list_upstream(context.site, "i-first", state="draining")


@when("an entry without an address is listed")
def list_entry_without_address(context):
    call_store(context.site, write_row, "servers", "i-bad-1", b'{"service":"plain"}')


@when("an entry of an unknown state is listed")
def list_unknown_state(context):
    list_upstream(context.site, "i-first")
    site = context.site
    site.upstreams["i-bad-2"] = site.upstreams["i-first"]
    list_upstream(site, "i-bad-2", state="resting", address="127.0.0.1:1")


@when("an entry that isn't text is listed")
def list_binary_entry(context):
    call_store(context.site, write_row, "servers", "i-bad-3", b"\xff\xfe\x00")
    wait_until_listed(context.site, "i-bad-3", event="upstream-unlisted")


@when("a caller sends an idempotent request with its key")
def send_idempotent(context):
    context.replies = [send(context.site, "/read/x?a=1")]


@when('a caller sends an idempotent request with the key "{key}"')
def send_with_key(context, key):
    context.replies = [send(context.site, "/read/x", key=key, X_Attempt_Id="id-77")]


@when("a caller sends an idempotent request with reserved headers")
def send_reserved_headers(context):
    context.replies = [send(context.site, "/read/x", **RESERVED_HEADERS)]


@when("a caller sends a non-idempotent request")
def send_non_idempotent(context):
    started_s = time.monotonic()
    context.replies = [send(context.site, "/send/x", method="POST", body=b"b" * 500)]
    context.waited_s = time.monotonic() - started_s


@when("{count:d} callers send idempotent requests")
def send_many_idempotent(context, count):
    context.replies = [send(context.site, "/read/x") for _ in range(count)]


@when("{count:d} callers send non-idempotent requests")
def send_many_non_idempotent(context, count):
    context.replies = [
        send(context.site, "/send/x", method="POST", body=b"{}") for _ in range(count)
    ]


@when("a caller requests a stream")
def request_stream(context):
    context.replies = [send(context.site, "/stream/x", method="POST", body=b"{}")]


@when("{count:d} callers request resumable streams")
def request_resumable_streams(context, count):
    context.replies = [
        send(context.site, "/resume/x", method="POST", body=b"{}") for _ in range(count)
    ]


@when("a caller sends an idempotent request on the short route")
def send_on_short_route(context):
    started_s = time.monotonic()
    context.replies = [send(context.site, "/short/x")]
    context.waited_s = time.monotonic() - started_s


class FailingSession:
    """An HTTP session whose calls raise an error."""

    def __init__(self, error):
        self.error = error

    def get(self, url, params):
        raise self.error


@given('a client of the store whose connections fail with "{name}"')
def make_failing_client(context, name):
    error = getattr(builtins, name)("the descriptor is used by another connection")
    address = Address(host="127.0.0.1", port=1)
    client = StoreClient(session=FailingSession(error), address=address)
    context.source = make_upstream_source(client)


@then("reading the list fails with a source error")
def check_no_answer(context):
    try:
        asyncio.run(context.source.read_all(lambda: None))
    except SourceError:
        return
    raise AssertionError("reading the list did not fail")


@then('the caller gets "{body}"')
def check_body(context, body):
    reply = context.replies[0]
    got = (reply.status, reply.body)
    assert got == (200, body.encode()), (reply, read_log(context.site))


@then('each caller gets "{body}"')
def check_bodies(context, body):
    got = {(reply.status, reply.body) for reply in context.replies}
    assert got == {(200, body.encode())}, (got, read_log(context.site))


@then("the caller gets the status {status:d}")
def check_status(context, status):
    reply = context.replies[0]
    assert reply.status == status, (reply, read_log(context.site))


@then("the response has a Retry-After header")
def check_retry_after(context):
    assert float(context.replies[0].headers["retry-after"]) > 0


@then("the caller waited less than {seconds:g} s")
def check_wait(context, seconds):
    assert context.waited_s < seconds, context.waited_s


@then("the response has the upstream's signature")
def check_signature(context):
    assert context.replies[0].headers["x-response-signature"] == "s.1"


@then("the response has no body and nothing of this instance")
def check_nothing_added(context):
    reply = context.replies[0]
    own = [name for name in reply.headers if name.startswith("x-jujubenotch")]
    assert reply.body == b"" and not own, reply


@then("the response ended by closing the connection")
def check_unframed(context):
    headers = context.replies[0].headers
    assert headers["connection"] == "close", headers
    assert not headers.keys() & {"content-length", "transfer-encoding"}, headers


@then("the response is {verdict:w}")
def check_response_end(context, verdict):
    assert context.replies[0].is_whole is (verdict == "whole"), context.replies[0]


@then("the caller got {count:d} events")
def check_events(context, count):
    body = context.replies[0].body
    assert body.count(b"data:") == count, (body, read_log(context.site))


@then("each caller got {count:d} events in order")
def check_order(context, count):
    expected = b"".join(b"id: %d\ndata: w%d\n\n" % (n, n) for n in range(1, count + 1))
    for reply in context.replies:
        assert reply.body == expected, (reply, read_log(context.site))
        assert reply.is_whole


@then("no caller got an event twice")
def check_events_once(context):
    for reply in context.replies:
        events = re.findall(rb"^id: (\d+)$", reply.body, re.MULTILINE)
        assert len(events) == len(set(events)), (reply, read_log(context.site))


@then("the response of some caller is cut")
def check_some_cut(context):
    assert not all(reply.is_whole for reply in context.replies), context.replies


@then('the upstream received the header "{header}"')
def check_header(context, header):
    head = context.site.upstreams["i-first"].requests[0].lower()
    assert header.encode() in head, head


@then('the upstream received no header "{name}"')
def check_no_header(context, name):
    head = context.site.upstreams["i-first"].requests[0].lower()
    assert name.encode() not in head and KEY.encode() not in head, head


@then("the upstream received none of the reserved headers")
def check_reserved(context):
    head = context.site.upstreams["i-first"].requests[0].lower()
    for name, value in RESERVED_HEADERS.items():
        assert f"{name}: {value}\r\n".lower().encode() not in head, head


@then("the {which:w} upstream received {count:d} requests")
@then("the upstream received {count:d} request")
def check_requests(context, count, which="first"):
    assert len(context.site.upstreams[f"i-{which}"].requests) == count


@then("the upstreams received {count:d} request in total")
@then("the upstreams received {count:d} requests in total")
def check_all_requests(context, count):
    total = sum(len(each.requests) for each in context.site.upstreams.values())
    assert total == count, total


@then("the instance is not ready")
def check_not_ready(context):
    assert read_readiness(context.site) == 503


@then('the "{event}" log line has the reason "{reason}" and the version')
def check_log_line(context, event, reason):
    time.sleep(0.1)
    lines = [
        line
        for line in read_events(context.site, event)
        if line["request_id"] == "id-77"
    ]
    assert [line["reason"] for line in lines] == [reason], read_log(context.site)
    assert lines[0]["version"] == 1 and lines[0]["version_age_s"] < 3
    assert lines[0]["version_source"] == "store" and lines[0]["version_revision"] > 0


@then("the metrics count {count:d} completed request")
def check_metrics(context, count):
    body = send(context.site, "/metrics", port=9464).body.decode()
    lines = [line for line in body.splitlines() if 'outcome="completed"' in line]
    assert [line.rpartition(" ")[2] for line in lines] == [str(count)], body
