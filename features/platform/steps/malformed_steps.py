import asyncio
import contextlib
import copy
import json
from types import SimpleNamespace

import orjson
from behave import then, when
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as draws

from features.platform.site import ROUTES, call_store, run, send, wait_until_ready
from features.platform.steps.directory_steps import use_directory
from features.platform.steps.registry_steps import use_registry
from jujubenotch.crashes import (
    CrashReport,
    InstanceReports,
    decode_reports,
    encode_reports,
)
from jujubenotch.daemon.forward_crashes import CrashWatch, apply_crash_page
from jujubenotch.daemon.forward_state import (
    ForwardState,
    apply_configuration,
    apply_upstreams,
)
from jujubenotch.daemon.forward_streams import StreamWatch, record_listing
from jujubenotch.dispatch import Progress
from jujubenotch.dispatch.work_request import make_work_request
from jujubenotch.forwarding import (
    ConfigurationView,
    DirectCapacity,
    Item,
    Page,
    SourceError,
    SourceUpdate,
    admit_request,
    build_index,
)
from jujubenotch.neighbours import (
    Message,
    MessageItem,
    MessageKind,
    decode_message,
    join_datagram,
    split_message,
)
from jujubenotch.neighbours.codec import Reassembly
from jujubenotch.outcomes import Refusal
from jujubenotch.platform.crash_reports import make_crash_source
from jujubenotch.platform.directory import NAME_PREFIX, StoreDirectory
from jujubenotch.platform.documents import decode_configuration, decode_upstream
from jujubenotch.platform.registry import INSTANCE_TABLE, StoreRegistry
from jujubenotch.platform.requests import PLATFORM_PROTOCOL, decode_request
from jujubenotch.platform.store import (
    StoreClient,
    make_configuration_source,
    make_upstream_source,
)
from jujubenotch.platform.stream_records import StoreStreamRecords
from jujubenotch.settings import Address
from jujubenotch.streams import BatchName
from jujubenotch.upstreams import UpstreamAnswer
from standins.store import StoredRow

CONFIGURATION = {
    "version": 3,
    "routes": list(ROUTES),
    "services": [
        {
            "name": "plain",
            "max-conns": 100,
            "engine": {"slots": 4, "kv-capacity": 100},
        }
    ],
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 100000,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    },
    "tenants": [{"name": "agents", "api-keys": ["a-key"], "priority": 1}],
}
UPSTREAM = {
    "service": "plain",
    "address": "127.0.0.1:80",
    "zone": "a",
    "slots": 4,
    "state": "ready",
    "cold-remaining-ms": 10,
    "born": 1_700_000_000_000,
    "version": "v1",
}
REPORTS = InstanceReports(
    crashes=(CrashReport(process="i-1", reported_unix_s=1.7e9, suspects=("a", "b")),)
)
NAMES = {"names": ["instance-a@b@10.0.0.1:1", "stream-origins@0@1@1@MGY"]}
ODD = draws.one_of(
    draws.none(),
    draws.booleans(),
    draws.integers(-1, 2),
    draws.sampled_from(
        (2**31, 2**53, 2**63, 2**64, 10**30, 10**400, -(10**30), 1e300, 5e-324, 0.5)
    ),
    draws.sampled_from((float("inf"), float("-inf"), float("nan"))),
    draws.sampled_from(("", "\0", "ä", "٣", "a" * 5000, "/", "%", "[::1]:80")),
    draws.text(max_size=8),
    draws.just([]),
    draws.just({}),
    draws.just([{}]),
)


def check_drawn(*strategies):
    """Check drawn cases; the same ones in each run."""

    def decorate(check):
        settings(
            max_examples=400,
            derandomize=True,
            database=None,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        )(given(*strategies)(check))()

    return decorate


@draws.composite
def spoil(draw, document):
    """Replace up to three parts of a document, at any depth, or remove them."""
    document = copy.deepcopy(document)
    for _ in range(draw(draws.integers(0, 3))):
        part = document
        while True:
            keys = list(part) if isinstance(part, dict) else list(range(len(part)))
            if not keys:
                break
            key = draw(draws.sampled_from(keys))
            is_leaf = not isinstance(part[key], dict | list) or not part[key]
            if is_leaf or draw(draws.integers(0, 5)) == 0:
                if draw(draws.integers(0, 4)) == 0:
                    del part[key]
                else:
                    part[key] = draw(ODD)
                break
            part = part[key]
    return json.dumps(document, ensure_ascii=draw(draws.booleans())).encode(
        errors="surrogatepass"
    )


def make_update(items, **fields):
    page = Page(items=tuple(items), revision=3, store_time_s=1.0, **fields)
    return SourceUpdate(
        page=page, sent_s=0.9, received_s=1.0, after_revision=2, follows_outage=False
    )


def make_state(configuration=None):
    state = ForwardState()
    configuration = configuration or decode_configuration(json.dumps(CONFIGURATION))
    state.index = build_index(configuration)
    return state


def admit(state, head):
    view = ConfigurationView(index=state.index, age_s=0.0, max_age_s=1.0)
    return admit_request(head, b"", view, draw=0.5, now_s=1.0)


def make_head(path, **headers):
    fields = {"host": "site.example", "authorization": "Bearer a-key", **headers}
    return decode_request("POST", path, list(fields.items()))


def send_to_capacity(state, call):
    capacity = DirectCapacity(
        listing=state.listing, read_clock_s=lambda: 1.0, read_listing_clock_s=lambda: 1
    )
    grant = asyncio.run(capacity.acquire(make_work_request(call, Progress())))
    if not isinstance(grant, Refusal):
        upstream = SimpleNamespace(name=grant.upstream)
        PLATFORM_PROTOCOL.write_headers(upstream, call, Progress(), 1.0)


def list_upstreams(state, items):
    apply_upstreams(state, make_update(items))
    watch = StreamWatch(state=state)
    record_listing(watch)


@then(
    "each drawn configuration is rejected, or callers' requests are admitted or refused "
    "by it"
)
def check_configurations(context):
    @check_drawn(spoil(CONFIGURATION))
    def check(content):
        configuration = decode_configuration(content)
        state = ForwardState()
        item = Item(key="config", value=configuration, revision=3, content=content)
        apply_configuration(state, make_update([item]))
        if state.index is None:
            return
        entry = decode_upstream("i-1", json.dumps(UPSTREAM).encode())
        list_upstreams(state, [Item(key="i-1", value=entry, revision=4)])
        for route in ROUTES:
            call = admit(state, make_head(route["prefix"]))
            if not isinstance(call, Refusal):
                send_to_capacity(state, call)


@then("each drawn upstream is rejected, or requests are sent to it or refused")
def check_upstreams(context):
    @check_drawn(spoil(UPSTREAM), spoil(UPSTREAM))
    def check(first, second):
        state = make_state()
        list_upstreams(
            state,
            [
                Item(key=name, value=decode_upstream(name, content), revision=4)
                for name, content in (("i-1", first), ("i-2", second))
            ],
        )
        call = admit(state, make_head("/resume/x"))
        send_to_capacity(state, call)


@then("each drawn list of crash reports is rejected or taken up")
def check_reports(context):
    @check_drawn(spoil(orjson.loads(encode_reports(REPORTS))))
    def check(content):
        reports = decode_reports(content)
        watch = CrashWatch(name="e-1", state=make_state())
        apply_crash_page(
            watch, make_update([Item(key="e-2", value=reports, revision=3)])
        )


@then("each drawn head of a request is admitted or refused")
def check_request_heads(context):
    names = draws.sampled_from(
        (
            "x-attempt-id",
            "x-deadline-ms",
            "x-prompt-prefix",
            "x-token-count",
            "x-length-hint",
            "last-event-id",
            "resumes",
            "connection",
        )
    )
    values = draws.one_of(
        draws.text(max_size=20),
        draws.sampled_from(("1e308,1e308", "a:1e308,b:1e308", "1e999", "nan", "-1")),
        draws.lists(draws.floats(), max_size=3).map(
            lambda floats: ",".join(f"p:{each}" for each in floats)
        ),
        draws.floats().map(str),
        draws.integers().map(str),
    )

    @check_drawn(draws.dictionaries(names, values), draws.sampled_from(ROUTES))
    def check(headers, route):
        state = make_state()
        entry = decode_upstream("i-1", json.dumps(UPSTREAM).encode())
        list_upstreams(state, [Item(key="i-1", value=entry, revision=4)])
        call = admit(state, make_head(route["prefix"], **headers))
        if not isinstance(call, Refusal):
            send_to_capacity(state, call)


@then("each drawn head of a response is read")
def check_response_heads(context):
    names = draws.sampled_from(
        (
            "Server-Limit",
            "Server-Leaving",
            "Server-Brittle",
            "Retry-After",
            "X-Instance-Load",
        )
    )
    values = draws.one_of(
        draws.text(max_size=20),
        draws.floats().map(str),
        draws.lists(draws.one_of(draws.integers(), draws.floats()), max_size=5).map(
            lambda numbers: ",".join(map(str, numbers))
        ),
    )

    @check_drawn(draws.dictionaries(names, values), draws.sampled_from((200, 421, 503)))
    def check(headers, status):
        answer = UpstreamAnswer(
            status=status,
            headers=tuple(headers.items()),
            response=SimpleNamespace(headers=headers),
        )
        state = make_state()
        entry = decode_upstream("i-1", json.dumps(UPSTREAM).encode())
        list_upstreams(state, [Item(key="i-1", value=entry, revision=4)])
        capacity = DirectCapacity(
            listing=state.listing,
            read_clock_s=lambda: 1.0,
            read_listing_clock_s=lambda: 1.0,
        )
        call = admit(state, make_head("/stream/x"))
        request = make_work_request(call, Progress())
        asyncio.run(capacity.acquire(request))
        load = PLATFORM_PROTOCOL.read_load(answer)
        if load is not None:
            capacity.record_load("i-1", load, 1.0)
        notice = PLATFORM_PROTOCOL.read_notice(answer)
        if notice is not None:
            capacity.record_notice("i-1", notice)
        asyncio.run(capacity.acquire(request))


class DrawnSession:
    """Responds to each call with the same drawn response."""

    def __init__(self, status, headers, content):
        self.answer = SimpleNamespace(
            status=status, headers=headers, content=self, read=self.read
        )
        self.body = content

    async def iter_any(self):
        yield self.body

    async def read(self):
        return self.body

    @contextlib.asynccontextmanager
    async def request(self, method, url, **arguments):
        yield self.answer

    def get(self, url, **arguments):
        return self.request("GET", url, **arguments)


def open_drawn(content, status=200, era="0"):
    session = DrawnSession(status, {"Store-Era": era}, content)
    return StoreClient(session=session, address=Address(host="h", port=1))


def make_rows(value="eyJhIjoxfQ==", key="i-1"):
    row = {"table": "t", "key": key, "value": value, "schema-version": 3}
    removed = {"table": "t", "key": "i-2", "deleted": True}
    return {
        "rows": [row, removed],
        "schema-version": 4,
        "now-ms": 1000,
        "has-more": False,
    }


ERAS = draws.one_of(
    draws.sampled_from(("0", "1", "", "x", "-1", "٣", "9" * 30, "9" * 5000)),
    draws.text(max_size=5),
)
CONTENTS = draws.one_of(
    spoil(make_rows()),
    spoil(make_rows("ä")),
    spoil(NAMES),
    draws.binary(max_size=40),
    draws.sampled_from((b"[" * 100_000, b"null", b"[]", b"{}", b"")),
)
STATUSES = draws.sampled_from((200, 200, 200, 204, 404, 410, 500, 503))


@then(
    "each call to the store that gets a drawn response raises nothing but source errors"
)
def check_calls(context):
    @check_drawn(CONTENTS, STATUSES, ERAS)
    def check(content, status, era):
        client = open_drawn(content, status, era)
        records = StoreStreamRecords(client=client)
        calls = [
            StoreDirectory(client=client).list_instances,
            lambda: StoreRegistry(client=client).list_instances("a"),
            records.list_objects,
            records.has_lost_upstreams,
            lambda: records.read_batch(
                BatchName(era=0, begun_s=0, writer="0f", number=1)
            ),
        ]
        for source in make_sources(client):
            calls += [
                lambda source=source: source.read_all(lambda: None),
                lambda source=source: source.read_changes(2, 0.0, lambda: None),
            ]
        for call in calls:
            with contextlib.suppress(SourceError):
                asyncio.run(call())


def make_sources(client):
    return (
        make_configuration_source(client),
        make_upstream_source(client),
        make_crash_source(client),
    )


@then("each page of a drawn response is applied, and sent to neighbours or not")
def check_pages(context):
    @check_drawn(CONTENTS, ERAS)
    def check(content, era):
        state = make_state()
        watch = CrashWatch(name="e-1", state=state)
        appliers = (
            lambda update: apply_configuration(state, update),
            lambda update: apply_upstreams(state, update),
            lambda update: apply_crash_page(watch, update),
        )
        client = open_drawn(content, 200, era)
        for source, apply in zip(make_sources(client), appliers, strict=True):
            try:
                page = asyncio.run(source.read_changes(2, 0.0, lambda: None))
            except SourceError:
                continue
            apply(
                SourceUpdate(
                    page=page,
                    sent_s=0.9,
                    received_s=1.0,
                    after_revision=2,
                    follows_outage=False,
                )
            )
            send_page(page)


def send_page(page):
    message = Message(
        kind=MessageKind.UPSTREAMS,
        era=page.era,
        after_revision=2,
        revision=page.revision,
        changed_revision=page.changed_revision,
        store_time_s=page.store_time_s,
        items=tuple(
            MessageItem(
                key=item.key,
                content=item.content,
                is_removed=item.is_removed,
                revision=item.revision,
            )
            for item in page.items
        ),
    )
    datagrams = split_message(message, 1)
    for datagram in datagrams or ():
        content = join_datagram(Reassembly(), "10.0.0.1:1", datagram, 1.0)
        if content is not None:
            assert decode_message(content) == message


@when('the store lists an instance at "{address}"')
def list_address(context, address):
    site = context.site

    async def put():
        site.state.objects[f"{NAME_PREFIX}edge-a-9@a@{address}"] = b"1"
        row = StoredRow(
            table=INSTANCE_TABLE, part="a", key=address, value=b"{}", revision=1
        )
        site.state.rows[INSTANCE_TABLE, "a", address] = row

    run(site, put())


@then("no instance is listed at it")
def check_address_left_out(context):
    listed = use_directory(context, lambda directory: directory.list_instances())
    assert [each.address for each in listed] == [""], listed
    registered = use_registry(context, lambda registry: registry.list_instances("a"))
    assert not registered, registered


@then(
    "reading a table or names whose every page tells of more ends with a source error"
)
def check_endless(context):
    rows = open_drawn(json.dumps({**make_rows(), "has-more": True}).encode())
    names = open_drawn(json.dumps({**NAMES, "has-more": True}).encode())
    calls = (
        lambda: make_upstream_source(rows).read_all(lambda: None),
        StoreDirectory(client=names).list_instances,
        StoreStreamRecords(client=names).list_objects,
    )
    for call in calls:

        async def read(call=call):
            async with asyncio.timeout(2.0):
                await call()

        try:
            asyncio.run(read())
        except SourceError:
            continue
        raise AssertionError("no source error was raised")


SPOILT = {
    "a value that is not ASCII": make_rows("ä", "config"),
    "revisions that are too large": {**make_rows(key="config"), "schema-version": 1e30},
    "a list in place of an object": [],
}


@when("the store answers the next {count:d} calls for rows with {what}")
def spoil_responses(context, count, what):
    content = orjson.dumps(SPOILT[what]) if what in SPOILT else b"{"

    def set_spoilt(state):
        state.spoilt_responses = [content] * count

    call_store(context.site, set_spoilt)


@then("the program is running")
def check_running(context):
    assert context.site.process.poll() is None, context.site.process.returncode


# The pauses between calls to a store that fails may add up to more than 3 s.
@then('once it is ready again a caller gets "{body}"')
def check_answer_when_ready(context, body):
    wait_until_ready(context.site)
    check_served(context, body)


@then('a caller gets "{body}"')
def check_served(context, body):
    reply = send(context.site, "/read/x")
    assert (reply.status, reply.body) == (200, body.encode()), reply
