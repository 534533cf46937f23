import json
import os
import subprocess
import sys
import time

from behave import given, then, when

from features.platform.site import (
    HOST,
    KEY,
    ROOT,
    add_upstream,
    answer_correctly,
    list_upstream,
    open_site,
    put_configuration,
    read_events,
    read_log,
    send,
    start_program,
    wait_until_listed,
    wait_until_ready,
)
from features.scripted_upstream import ScriptedUpstream
from jujubenotch.platform.settings import METRICS_PORT

NAMES = ("i-first", "i-second")
LEAVING_TIMEOUT_S = 5.0


def make_counting_upstream(context):
    def answer(head):
        context.requests += 1
        return answer_correctly(head)

    return ScriptedUpstream(make_parts=answer, connection_ending="keep")


@given("a site of 2 upstreams whose metrics are served")
def open_preview_site(context):
    context.requests = 0
    context.site = context.stack.enter_context(open_site())
    put_configuration(context.site)
    for name in NAMES:
        add_upstream(context.site, name, make_counting_upstream(context))
    start_program(context.site)
    wait_until_ready(context.site)
    for name in NAMES:
        wait_until_listed(context.site, name)


def ask(context, body):
    return send(
        context.site,
        "/v1/preview",
        port=METRICS_PORT,
        method="POST",
        key="",
        body=body.encode(),
    )


def preview(context, *, key=KEY, target="/read/x"):
    headers = {"Host": HOST}
    if key:
        headers["Authorization"] = f"Bearer {key}"
    question = {"method": "GET", "target": target, "headers": headers}
    reply = ask(context, json.dumps(question))
    assert reply.status == 200, reply
    return json.loads(reply.body)


@when("the way of a request is previewed {count:d} times")
def preview_some(context, count):
    context.previews = [preview(context) for _ in range(count)]


@when("the way of a request without a key is previewed {count:d} times")
def preview_without_key(context, count):
    context.previews = [preview(context, key="") for _ in range(count)]


@when("the way of a request without a route is previewed {count:d} times")
def preview_without_route(context, count):
    context.previews = [preview(context, target="/none/x") for _ in range(count)]


@when("the first upstream is listed as leaving")
def list_leaving(context):
    list_upstream(context.site, NAMES[0], state="draining")
    end_s = time.monotonic() + LEAVING_TIMEOUT_S
    while not any(
        each["upstream"] == NAMES[0] and each["is_leaving"]
        for each in read_events(context.site, "upstream-listed")
    ):
        assert time.monotonic() < end_s, read_log(context.site)
        time.sleep(0.05)


@when("the question {body} is sent")
def send_question(context, body):
    context.reply = ask(context, body)


@when("the command previews a request")
def run_preview_command(context):
    arguments = [
        "preview",
        f"--address=http://{context.site.host}:{METRICS_PORT}",
        f"--header=Authorization:Bearer {KEY}",
        "GET",
        f"http://{HOST}/read/x",
    ]
    context.result = subprocess.run(
        [sys.executable, "-m", "jujubenotch.cli.program", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
    )


@then("each preview names an upstream and 2 candidates")
def check_previews(context):
    for each in context.previews:
        assert each["upstream"] in NAMES, each
        assert [one["name"] for one in each["candidates"]] == list(NAMES), each
        assert (each["service"], each["team"]) == ("plain", "agents"), each


@then("no upstream got a request")
def check_nothing_sent(context):
    assert context.requests == 0, context.requests


@then("each preview names the second upstream")
def check_second(context):
    assert {each["upstream"] for each in context.previews} == {NAMES[1]}


@then('the first upstream is excluded as "{reason}"')
def check_excluded(context, reason):
    for each in context.previews:
        assert each["candidates"][0]["excluded_by"] == reason, each


@then('each preview tells the refusal "{reason}"')
def check_refusal(context, reason):
    for each in context.previews:
        assert (each["upstream"], each["reason"]) == ("", reason), each


@then("the answer has the status {status:d}")
def check_status(context, status):
    assert context.reply.status == status, context.reply


@then("a request is still previewed")
def check_alive(context):
    assert preview(context)["upstream"] in NAMES


@then("it ends with 0 and prints the upstream and 2 candidates")
def check_command(context):
    result = context.result
    assert result.returncode == 0, (result.stdout, result.stderr)
    assert all(name in result.stdout for name in NAMES), result.stdout
    assert "configuration_version" in result.stdout, result.stdout
