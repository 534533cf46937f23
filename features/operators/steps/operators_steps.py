import asyncio
import hashlib
import json
import re
from pathlib import Path

import aiohttp
from behave import given, then, when
from hypothesis import given as generated
from hypothesis import settings
from hypothesis import strategies as st

from features.operator_server import KEY, OTHER_KEY, start_operator_server
from jujubenotch.metrics import read_value
from jujubenotch.operators import OperatorLimits

RECORDS_PAGE = Path(__file__).resolve().parents[3] / "docs" / "RECORDS.md"
TIMEOUT = aiohttp.ClientTimeout(total=30)
HEADERS_BY_KEY = {
    "no key": [],
    "a wrong key": [("Authorization", "Bearer wrong")],
    "two keys": [("Authorization", f"Bearer {KEY}")] * 2,
    "a digest": [
        ("Authorization", "Bearer " + hashlib.sha256(KEY.encode()).hexdigest())
    ],
    "the key": [("Authorization", f"Bearer {KEY}")],
    "a second key": [("Authorization", f"Bearer {OTHER_KEY}")],
}


@given("the operator API of an instance")
def start_api(context):
    context.server = start_operator_server(context)


@given("the operator API of an instance whose metrics require a key")
def start_api_with_metrics_key(context):
    context.server = start_operator_server(context, metrics_need_key=True)


@given("the operator API of an instance with a body limit of {count:d} bytes")
def start_api_with_body_limit(context, count):
    context.server = start_operator_server(
        context, limits=OperatorLimits(max_body_bytes=count)
    )


@given("the instance is not ready")
def set_not_ready(context):
    context.server.is_ready = False


@given("the platform is down")
def stop_platform(context):
    context.server.platform.is_down = True


async def request(context, session, method, path, key="the key", body=None):
    url = context.server.address + path
    headers = HEADERS_BY_KEY[key]
    async with session.request(method, url, data=body, headers=headers) as response:
        context.status = response.status
        context.headers = response.headers
        context.body = await response.read()
    is_json = "json" in context.headers.get("Content-Type", "")
    context.answer = json.loads(context.body) if is_json else None


def send_request(context, method, path, key="the key", body=None):
    async def run():
        async with aiohttp.ClientSession(timeout=TIMEOUT) as session:
            await request(context, session, method, path, key, body)

    asyncio.run(run())


@when("{method:w} {path:S} is requested with {key}")
def request_path(context, method, path, key):
    send_request(context, method, path, key)


@then("the status is {status:d}")
def check_status(context, status):
    assert context.status == status, (context.status, context.body)


@then("{count:d} authentication failures are counted for operators")
def check_authentication_failures(context, count):
    collector = context.server.metrics.authentication_failures
    assert read_value(collector, listener="operators") == count


@then('{count:d} rejection is counted for "{reason}"')
def check_rejections(context, count, reason):
    collector = context.server.metrics.configuration_rejections
    assert read_value(collector, reason=reason) == count


def apply_records(context, texts, change_id="", **fields):
    context.changes = getattr(context, "changes", 0) + 1
    document = {
        "change_id": change_id or f"change-{context.changes}",
        "files": [{"name": name, "text": text} for name, text in texts.items()],
        **fields,
    }
    send_request(
        context, "POST", "/v1/records/apply", body=json.dumps(document).encode()
    )


def read_record_files():
    version_2, version_1 = re.findall(
        r"```toml\n(schema_version.*?)```", RECORDS_PAGE.read_text(), re.DOTALL
    )
    without_class = re.sub(r"\[\[class\]\].*?\n\n", "", version_1, flags=re.DOTALL)
    return {"new.toml": version_2, "old.toml": without_class}


def write_team(name, weight):
    return {
        "team.toml": f'schema_version = 2\n[[team]]\nname = "{name}"\nweight = {weight}.0'
    }


@when("the records of docs/RECORDS.md are sent as a dry run")
def preview_record_files(context):
    apply_records(context, read_record_files(), dry_run=True)


@when("the records of docs/RECORDS.md are sent")
def apply_record_files(context):
    apply_records(context, read_record_files())


@given('team "{name}" was set to weight {first:d} and then to weight {second:d}')
def set_team_twice(context, name, first, second):
    apply_records(context, write_team(name, first))
    apply_records(context, write_team(name, second))
    check_result(context, "accepted", 200)


@when('team "{name}" is sent with weight {weight:d}, edited from revision {base:d}')
def apply_edit(context, name, weight, base):
    apply_records(context, write_team(name, weight), base_revision=base)


@when('team "{name}" is sent with weight {weight:d} and the id of the first change')
def apply_reused_id(context, name, weight):
    apply_records(context, write_team(name, weight), change_id="change-1")


@when("records with two errors are sent")
def apply_invalid_records(context):
    text = 'schema_version = 2\n[[team]]\nname = "a"\nweight = "b"\ncolour = 1'
    apply_records(context, {"wrong.toml": text})


@then('the result is "{result}" with status {status:d}')
def check_result(context, result, status):
    found = (context.status, context.answer and context.answer.get("result"))
    assert found == (status, result), (found, context.body)


@then("the revision in force is {revision:d}")
def check_revision(context, revision):
    assert context.server.store.replica.revision == revision


@then("the response lists the records {keys}, each at revision {revision:d}")
def check_records(context, keys, revision):
    records = context.answer["records"]
    found = [f"{record['kind']}/{record['name']}" for record in records]
    assert found == keys.split(", "), found
    assert {record["revision"] for record in records} == {revision}
    assert all(record["body"]["name"] == record["name"] for record in records)


@then(
    "the record in force has weight {old:f} at revision {revision:d} and the record sent has weight {new:f}, edited from revision {base:d}"
)
def check_conflict(context, old, revision, new, base):
    (difference,) = context.answer["differences"]
    assert difference["in_force"]["weight"] == old
    assert difference["wanted"]["weight"] == new
    assert (difference["revision"], difference["expected_revision"]) == (revision, base)


@then("{count:d} problems are reported with file, key and remedy")
def check_problems(context, count):
    problems = context.answer["problems"]
    assert len(problems) == count, problems
    for problem in problems:
        assert problem["file"] and problem["key"] and problem["remedy"], problem


@then("the response has a Retry-After header")
def check_retry_after(context):
    assert int(context.headers["Retry-After"]) > 0


@when("the body {body} is sent to the apply endpoint")
def apply_body(context, body):
    body = b"" if body == "(empty)" else body.encode()
    send_request(context, "POST", "/v1/records/apply", body=body)


@when("a body of {count:d} bytes is sent to the apply endpoint")
def apply_large(context, count):
    send_request(context, "POST", "/v1/records/apply", body=b" " * count)


@then(
    "{count:d} generated bodies are refused without an internal error of the instance"
)
def check_generated(context, count):
    keys = st.sampled_from(
        "change_id files dry_run base_revision expected_revisions name text".split()
    )
    scalars = st.none() | st.booleans() | st.integers() | st.text(max_size=6)
    values = st.recursive(
        scalars,
        lambda inner: (
            st.lists(inner, max_size=2) | st.dictionaries(keys, inner, max_size=4)
        ),
        max_leaves=8,
    )
    files = st.lists(
        st.fixed_dictionaries({"name": st.text(max_size=3), "text": st.text()}),
        max_size=2,
    )
    documents = st.fixed_dictionaries(
        {"change_id": st.just("a") | scalars, "files": files | values},
        optional={"base_revision": scalars, "expected_revisions": values},
    )
    bodies = (documents | values).map(lambda value: json.dumps(value).encode())

    async def send_all():
        loop = asyncio.get_running_loop()
        async with aiohttp.ClientSession(timeout=TIMEOUT) as session:

            @settings(
                derandomize=True, database=None, max_examples=count, deadline=None
            )
            @generated(bodies | st.binary(max_size=30))
            def send(body):
                coroutine = request(
                    context, session, "POST", "/v1/records/apply", body=body
                )
                asyncio.run_coroutine_threadsafe(coroutine, loop).result(30)
                assert context.status in (400, 422), (context.status, body)
                assert context.answer

            await asyncio.to_thread(send)

    asyncio.run(send_all())
    assert context.server.store.replica.revision == 0


@then("the events of the trace are {events}")
def check_events(context, events):
    found = [event["event"] for event in context.answer["events"]]
    assert found == events.split(", "), found


@when("the end of the drain of engine-1 is requested")
def end_drain(context):
    body = b'{"is_draining": false}'
    send_request(context, "POST", "/v1/upstreams/engine-1/drain", body=body)


@then('upstream "{name}" is drained')
def check_drained(context, name):
    check_drain(context, name, is_draining=True)


@then('upstream "{name}" is not drained')
def check_not_drained(context, name):
    check_drain(context, name, is_draining=False)


def check_drain(context, name, *, is_draining):
    assert context.status == 200, context.body
    assert context.answer["is_draining"] is is_draining, context.answer
    assert context.answer["is_lasting"], context.answer
    drains = context.server.store.replica.configuration.drains
    assert (name in drains) is is_draining
    assert not context.server.drained[name]


@then('the instance keeps the drain of "{name}" in memory')
def check_drain_in_memory(context, name):
    assert context.status == 200 and not context.answer["is_lasting"], context.body
    assert context.server.drained[name]


@given("the records of docs/RECORDS.md are in force")
def put_in_force(context):
    apply_record_files(context)
    check_result(context, "accepted", 200)


@given("the platform is up")
def restore_platform(context):
    context.server.platform.is_down = False
