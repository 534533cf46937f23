import http.client
import json
import os
import signal
import socket
import tempfile
import urllib.error
import urllib.request
from pathlib import Path

import openai
import tomli_w
from behave import given, then, when

from features.path_records import APPLICATION_KEY, MODEL_NAME, make_record_document
from features.programs import start_daemon, start_program, wait_until
from standins.answers import make_expected_text

CHAT_PATH = "/v1/chat/completions"
MAX_BODY_BYTES = 100_000
LONG_STREAM_SLOWDOWN = 10.0


@given("an engine")
def give_engine(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.directory = Path(directory.name)
    context.journal = context.directory / "engine.jsonl"
    context.engine = start_program(
        context,
        "standins.engine",
        f"--models={MODEL_NAME}",
        "--step-ms=5",
        f"--journal={context.journal}",
    )


@given("a daemon with an embedded platform")
def give_daemon(context):
    start_path_daemon(context, {})


def start_path_daemon(context, caller_settings):
    records = context.directory / "records.toml"
    records.write_text(
        tomli_w.dumps(make_record_document({"engine-1": context.engine.url}, {}))
    )
    context.daemon = start_daemon(
        context,
        context.directory,
        {
            "callers": {"max_body_bytes": MAX_BODY_BYTES} | caller_settings,
            "platform": {"kind": "embedded", "records": [str(records)]},
        },
    )
    context.client = openai.OpenAI(
        api_key=APPLICATION_KEY, base_url=f"{context.daemon.url}/v1", max_retries=0
    )


def make_body(**fields):
    messages = [{"role": "user", "content": "May these heifers move?"}]
    return {"model": MODEL_NAME, "messages": messages, "max_tokens": 20} | fields


def send(context, path=CHAT_PATH, body=None, headers=None, keys=(APPLICATION_KEY,)):
    content = body if isinstance(body, bytes) else json.dumps(body).encode()
    request = urllib.request.Request(context.daemon.url + path, data=content)
    for name, value in (headers or {}).items():
        request.add_header(name, value)
    for key in keys:
        request.add_header("Authorization", f"Bearer {key}")
    try:
        context.response = urllib.request.urlopen(request, timeout=20)
    except urllib.error.HTTPError as error:
        context.response = error
    context.body = context.response.read()


@when("the openai library requests a chat completion")
def request_chat(context):
    context.request = make_body()
    answer = context.client.chat.completions.create(**context.request)
    context.received = answer.choices[0].message.content


@when("the openai library requests a streamed chat completion")
def request_stream(context):
    context.request = make_body(stream=True)
    chunks = context.client.chat.completions.create(**context.request)
    context.received = "".join(
        chunk.choices[0].delta.content or "" for chunk in chunks if chunk.choices
    )


@when("the openai library requests a plain completion")
def request_completion(context):
    context.request = {"model": MODEL_NAME, "prompt": "Draft it.", "max_tokens": 20}
    answer = context.client.completions.create(**context.request)
    context.received = answer.choices[0].text


@then("the received text is the engine's response to that request")
def check_text(context):
    assert context.received == make_expected_text(context.request), context.received


@then("the openai library lists the engine's model")
def check_models(context):
    assert [model.id for model in context.client.models.list()] == [MODEL_NAME]


@when("a client requests a chat completion")
def request_with_urllib(context):
    send(context, body=make_body())


@when("a client requests a streamed chat completion")
def request_stream_with_urllib(context):
    send(context, body=make_body(stream=True))


@then('the response header "{name}" is "{value}"')
def check_header(context, name, value):
    assert context.response.headers[name] == value, context.response.headers


@then('the response header "{name}" is present')
def check_header_present(context, name):
    assert context.response.headers[name]


@then("the response status is {status:d}")
def check_status(context, status):
    assert context.response.status == status, context.response.status


@then('the final event reports the outcome "{outcome}" and ends the stream')
def check_last_event(context, outcome):
    last = context.body.decode().strip().split("\n\n")[-1]
    assert f": outcome={outcome} " in last, last
    assert last.endswith("data: [DONE]"), last


@when("a client sends a request without a key")
def send_without_key(context):
    send(context, body=make_body(), keys=())


@when("a client sends a request with a wrong key")
def send_wrong_key(context):
    send(context, body=make_body(), keys=("guess",))


@when("a client sends a request with two keys")
def send_two_keys(context):
    # urllib keeps only one header per name, so the request is written to a socket.
    send_raw(
        context,
        f"POST {CHAT_PATH} HTTP/1.1\r\nHost: a\r\n"
        f"Authorization: Bearer {APPLICATION_KEY}\r\n"
        "Authorization: Bearer other\r\nContent-Length: 2\r\n\r\n{}",
    )


@when("a client sends a body that is not JSON")
def send_not_json(context):
    send(context, body=b'{"model": "returns-model", ')


@when("a client sends a body without messages")
def send_without_messages(context):
    send(context, body={"model": MODEL_NAME})


@when("a client sends a body with a list as model")
def send_wrong_type(context):
    send(context, body=make_body(model=[MODEL_NAME]))


@when("a client sends an unknown model")
def send_unknown_model(context):
    send(context, body=make_body(model="other"))


@when("a client sends an unknown service")
def send_unknown_service(context):
    send(context, path="/services/other/call", body={})


@when("a client sends an oversized body")
def send_oversized(context):
    length = MAX_BODY_BYTES + 1
    send_raw(
        context,
        f"POST {CHAT_PATH} HTTP/1.1\r\nHost: a\r\n"
        f"Authorization: Bearer {APPLICATION_KEY}\r\n"
        f"Content-Length: {length}\r\n\r\n{{",
    )


@when("a client sends two idempotency keys")
def send_two_idempotency_keys(context):
    body = json.dumps(make_body())
    send_raw(
        context,
        f"POST {CHAT_PATH} HTTP/1.1\r\nHost: a\r\n"
        f"Authorization: Bearer {APPLICATION_KEY}\r\n"
        "Idempotency-Key: one\r\nIdempotency-Key: two\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}",
    )


def send_raw(context, text):
    port = context.daemon.callers_port
    with socket.create_connection(("127.0.0.1", port), timeout=20) as connection:
        connection.sendall(text.encode())
        response = http.client.HTTPResponse(connection)
        response.begin()
        context.body = response.read()
        context.response = response


@then("the engine has run no request")
def check_engine_idle(context):
    text = context.journal.read_text() if context.journal.exists() else ""
    assert not text, text


@then("no file descriptor of the daemon is an io_uring")
def check_no_io_uring(context):
    directory = Path(f"/proc/{context.daemon.process.pid}/fd")
    targets = [os.readlink(path) for path in directory.iterdir()]
    assert targets
    assert not [target for target in targets if "io_uring" in target], targets


@then("the daemon has no child process")
def check_no_child(context):
    pid = context.daemon.process.pid
    children = Path(f"/proc/{pid}/task/{pid}/children").read_text().split()
    assert not children, children


def slow_down(context, slowdown):
    content = json.dumps({"slowdown": slowdown}).encode()
    urllib.request.urlopen(f"{context.engine.url}/faults", data=content, timeout=20)


@when("the openai library has started to receive a long stream")
def start_stream(context):
    context.request = make_body(stream=True, max_tokens=400)
    context.request["messages"][0]["content"] = "Draft the census narrative."
    # The stream must last longer than anything else that a stopping daemon waits for.
    slow_down(context, LONG_STREAM_SLOWDOWN)
    context.stream = iter(context.client.chat.completions.create(**context.request))
    context.received = next(context.stream).choices[0].delta.content or ""


@when("the daemon receives SIGTERM")
def stop_daemon(context):
    context.daemon.process.send_signal(signal.SIGTERM)
    wait_until(lambda: "instance-stopping" in context.daemon.log.read_text())


@then("the openai library receives the complete stream")
def check_stream_complete(context):
    for chunk in context.stream:
        context.received += chunk.choices[0].delta.content or ""
    assert context.received == make_expected_text(context.request)


@then("the daemon exits with code {code:d}")
def check_exit_code(context, code):
    context.client.close()
    assert context.daemon.process.wait(20) == code
