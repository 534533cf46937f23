import asyncio
import http.client
import json
import tempfile
import time
import urllib.request
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import tomli_w
from behave import given, then, when

from features.path_records import APPLICATION_KEY, MODEL_NAME, make_record_document
from features.programs import start_daemon, start_program, wait_until
from jujubenotch.records import (
    Accepted,
    ChangeRequest,
    ConfigurationReplica,
    ConfigurationStore,
    parse_documents,
    submit_change,
)
from jujubenotch.tables import make_platform_client
from standins.answers import (
    count_expected_tokens,
    make_expected_service_response,
    make_expected_text,
)
from standins.journal import read_journal

TIMEOUT_S = 30


def make_directory(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.directory = Path(directory.name)


def start_service(context):
    context.service_journal = context.directory / "service.jsonl"
    context.service = start_program(
        context,
        "standins.service",
        "--delay-ms=150",
        f"--journal={context.service_journal}",
    )


def set_faults(program, **faults):
    request = urllib.request.Request(
        f"{program.url}/faults",
        data=json.dumps(faults).encode(),
        headers={"Content-Type": "application/json"},
    )
    urllib.request.urlopen(request, timeout=TIMEOUT_S).read()


@given("two engines that serve the same model")
def give_engines(context):
    make_directory(context)
    context.engines = {}
    for name in ("engine-1", "engine-2"):
        journal = context.directory / f"{name}.jsonl"
        program = start_program(
            context,
            "standins.engine",
            f"--models={MODEL_NAME}",
            "--step-ms=20",
            f"--journal={journal}",
        )
        context.engines[name] = (program, journal)


@given("a plain service")
def give_service(context):
    start_service(context)


@given("a daemon that uses these upstreams")
def give_daemon(context):
    urls = {name: program.url for name, (program, _) in context.engines.items()}
    document = make_record_document(urls, {"desk-1": context.service.url})
    records = context.directory / "records.toml"
    records.write_text(tomli_w.dumps(document))
    context.daemon = start_daemon(
        context,
        context.directory,
        {
            "platform": {"kind": "embedded", "records": [str(records)]},
            "upstreams": {"idle_timeout_s": 1.0},
        },
    )


@when("one engine refuses requests")
def make_engine_refuse(context):
    set_faults(context.engines["engine-1"][0], is_refusing=True)


@when("each engine ends its streams after {events:d} events")
def end_streams_early(context, events):
    for program, _ in context.engines.values():
        set_faults(program, end_after_events=events)


@when("the service loses its responses")
def lose_responses(context):
    set_faults(context.service, is_losing_answers=True)


@when("the service refuses requests")
def make_service_refuse(context):
    set_faults(context.service, is_refusing=True)


def make_body(number=0, **fields):
    content = f"Write narrative {number}."
    messages = [{"role": "user", "content": content}]
    return {"model": MODEL_NAME, "messages": messages, "max_tokens": 60} | fields


def send(daemon, method, path, content=b"", headers=()):
    connection = http.client.HTTPConnection(
        "127.0.0.1", daemon.callers_port, timeout=TIMEOUT_S
    )
    all_headers = {"Authorization": f"Bearer {APPLICATION_KEY}"} | dict(headers)
    connection.request(method, path, body=content or None, headers=all_headers)
    response = connection.getresponse()
    return connection, response


def send_whole(daemon, method, path, content=b"", headers=()):
    connection, response = send(daemon, method, path, content, headers)
    body = response.read()
    connection.close()
    return response, body


@when("{count:d} completions are requested")
def request_completions(context, count):
    context.answers = []
    for number in range(count):
        body = make_body(number)
        content = json.dumps(body).encode()
        answer = send_whole(context.daemon, "POST", "/v1/chat/completions", content)
        context.answers.append((body, *answer))


@then("each response is complete and has the outcome completed")
def check_completions(context):
    for body, response, content in context.answers:
        assert response.headers["X-Jujubenotch-Outcome"] == "completed"
        answer = json.loads(content)
        assert answer["choices"][0]["message"]["content"] == make_expected_text(body)


def find_body(least, most):
    bodies = (make_body(n, stream=True, max_tokens=600) for n in range(10_000))
    return next(body for body in bodies if least <= count_expected_tokens(body) <= most)


def start_stream(context, body):
    context.request = body
    content = json.dumps(body).encode()
    context.connection, context.stream = send(
        context.daemon, "POST", "/v1/chat/completions", content
    )
    context.received = b""


@when("a stream of {least:d} to {most:d} events is requested")
def request_stream(context, least, most):
    start_stream(context, find_body(least, most))


@when("a long stream has started")
def start_long_stream(context):
    start_stream(context, find_body(150, 300))
    while context.received.count(b"\n\n") < 3:
        context.received += context.stream.readline()


def find_serving_engine(context):
    started = {
        name: any(event["event"] == "started" for event in read_journal(str(journal)))
        for name, (_, journal) in context.engines.items()
    }
    (name,) = [name for name, is_started in started.items() if is_started]
    return context.engines[name][0]


@when("the engine of the stream crashes")
def crash_engine(context):
    find_serving_engine(context).process.kill()


@when("the engine of the stream stops responding")
def stop_engine_responses(context):
    set_faults(find_serving_engine(context), is_silent=True)


def read_events(context):
    context.received += context.stream.read()
    context.connection.close()
    return [part for part in context.received.decode().split("\n\n") if part]


@then("each event arrived once and the stream is complete")
def check_stream(context):
    *events, last = read_events(context)
    assert ": outcome=completed " in last and last.endswith("data: [DONE]"), last
    fields = [dict(line.split(": ", 1) for line in e.split("\n")) for e in events]
    numbers = [int(event["id"]) for event in fields]
    assert numbers == list(range(1, len(numbers) + 1)), numbers
    deltas = [json.loads(event["data"])["choices"][0]["delta"] for event in fields]
    text = "".join(delta.get("content") or "" for delta in deltas)
    assert text == make_expected_text(context.request), text


@then('the stream ends without its end marker and reports the outcome "{outcome}"')
def check_incomplete_stream(context, outcome):
    last = read_events(context)[-1]
    assert b"[DONE]" not in context.received
    assert last.startswith("event: error\ndata: "), last
    reported = json.loads(last.split("data: ", 1)[1])
    assert reported["error"]["outcome"] == outcome, reported


@when("a {method} request that must not be repeated is sent")
def send_submission(context, method):
    context.call = (method, "/submissions/7", b'{"heads": 12}')
    method, path, content = context.call
    context.answer = send_whole(
        context.daemon, method, f"/services/returns{path}", content
    )


@when("a GET request is sent")
def send_get(context):
    context.call = ("GET", "/holdings/7", b"")
    context.answer = send_whole(context.daemon, "GET", "/services/returns/holdings/7")


@then('the outcome is "{outcome}" with the reason "{reason}"')
def check_outcome_reason(context, outcome, reason):
    headers = context.answer[0].headers
    reported = (headers["X-Jujubenotch-Outcome"], headers["X-Jujubenotch-Reason"])
    assert reported == (outcome, reason), reported


@then('the outcome is "{outcome}"')
def check_outcome(context, outcome):
    assert context.answer[0].headers["X-Jujubenotch-Outcome"] == outcome


@then("the response is the service's response to that request")
def check_service_answer(context):
    assert context.answer[1] == make_expected_service_response(*context.call), (
        context.answer
    )


def count_runs(context):
    if not context.service_journal.exists():
        return 0
    events = read_journal(str(context.service_journal))
    return sum(event["event"] == "started" for event in events)


@then("the service ran the request {count:d} time")
@then("the service ran the request {count:d} times")
@then("the service ran the submission with the idempotency key {count:d} times")
def check_runs(context, count):
    expected = count + getattr(context, "unkeyed_runs", 0)
    assert count_runs(context) == expected, count_runs(context)


@given("a platform and a plain service")
def give_platform(context):
    make_directory(context)
    context.platform = start_program(context, "standins.platform")
    start_service(context)


@given("two daemons in two data centres that share them")
def give_daemons(context):
    context.daemons = {}
    urls = {"desk-1": context.service.url}
    document = make_record_document({}, urls, data_centre="north")
    second = make_record_document({}, {"desk-2": context.service.url})
    document["upstream"].append(second["upstream"][0] | {"data_centre": "south"})
    # Both upstream records are the same service. Two upstreams may not have the
    # same URL, so the second record uses another host name for it.
    document["upstream"][1]["url"] = context.service.url.replace(
        "127.0.0.1", "localhost"
    )
    apply_records(context.platform.url, tomli_w.dumps(document))
    for name, data_centre in (("n1", "north"), ("s1", "south")):
        context.daemons[name] = start_daemon(
            context,
            context.directory,
            {
                "instance": {"name": name, "data_centre": data_centre},
                "platform": {"kind": "http", "url": context.platform.url},
            },
            name=name,
        )


def apply_records(url, text):
    async def apply():
        platform = make_platform_client(kind="http", url=url)
        store = ConfigurationStore(platform=platform, replica=ConfigurationReplica())
        edit = parse_documents({"records.toml": text})
        request = ChangeRequest(change_id="first", edit=edit)
        result = await submit_change(store, request)
        await platform.close()
        return result

    result = asyncio.run(apply())
    assert isinstance(result, Accepted), result


SUBMISSION = ("POST", "/submissions/7", b'{"heads": 12}')


def submit(daemon, content=SUBMISSION[2], key="return-7"):
    method, path, _ = SUBMISSION
    headers = {"Idempotency-Key": key} if key else {}
    return send_whole(daemon, method, f"/services/returns{path}", content, headers)


@when("a submission with an idempotency key is sent to the first daemon")
def submit_first(context):
    context.first = submit(context.daemons["n1"])


@when("the same submission is sent to the second daemon")
def submit_second(context):
    context.second = submit(context.daemons["s1"])


@when(
    "a different submission with the same idempotency key is sent to the second daemon"
)
def submit_other(context):
    context.second = submit(context.daemons["s1"], b'{"heads": 13}')


@when(
    "a submission with an idempotency key is sent 6 times concurrently, half of them to each daemon"
)
def submit_concurrently(context):
    daemons = [*context.daemons.values()] * 3
    with ThreadPoolExecutor(len(daemons)) as executor:
        context.all_answers = list(executor.map(submit, daemons))


@when(
    "the caller of a submission with an idempotency key disconnects while the submission runs"
)
def submit_and_disconnect(context):
    method, path, content = SUBMISSION
    connection = http.client.HTTPConnection(
        "127.0.0.1", context.daemons["n1"].callers_port, timeout=TIMEOUT_S
    )
    headers = {
        "Authorization": f"Bearer {APPLICATION_KEY}",
        "Idempotency-Key": "return-7",
    }
    connection.request(method, f"/services/returns{path}", content, headers)
    wait_until(lambda: count_runs(context) == 1)
    connection.close()
    time.sleep(0.05)


@when("the platform is down")
def stop_platform(context):
    set_faults(context.platform, is_down=True)


@when("the platform loses every reply to a write")
def lose_platform_replies(context):
    set_faults(context.platform, lost_reply_ratio=1.0)


def check_completed(answer):
    response, body = answer
    assert response.headers["X-Jujubenotch-Outcome"] == "completed", body
    assert body == make_expected_service_response(*SUBMISSION), body


@then("both daemons return the service's response with the outcome completed")
def check_both(context):
    check_completed(context.first)
    check_completed(context.second)


@then("all responses are the service's response with the outcome completed")
def check_all(context):
    for answer in context.all_answers:
        check_completed(answer)


@then("the {which} daemon returns the service's response with the outcome completed")
def check_daemon_response(context, which):
    check_completed(getattr(context, which))


@then('the {which} daemon reports the outcome "{outcome}" with the reason "{reason}"')
def check_daemon_outcome(context, which, outcome, reason):
    response, body = getattr(context, which)
    headers = response.headers
    reported = (headers["X-Jujubenotch-Outcome"], headers["X-Jujubenotch-Reason"])
    assert reported == (outcome, reason), body


@then(
    "a submission without an idempotency key returns the service's response with the outcome completed"
)
def check_unkeyed(context):
    check_completed(submit(context.daemons["n1"], key=""))
    context.unkeyed_runs = 1
