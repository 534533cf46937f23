import asyncio
import json

import aiohttp
from behave import given, then, when

from features.programs import start_program
from features.standins.requests import (
    COMPLETION,
    LONG_STREAM,
    make_journal,
    run_coroutine,
)
from standins.answers import make_expected_service_response
from standins.journal import read_journal

SILENCE_WINDOW_S = 0.3


async def send_request(method, url, **arguments):
    async with aiohttp.ClientSession() as session:
        async with session.request(method, url, **arguments) as response:
            return response, await response.read()


def post_faults(url, faults):
    response, _ = run_coroutine(
        send_request("POST", f"{url}/faults", json=json.loads(faults))
    )
    return response.status


@given("a service")
def start_service(context):
    make_journal(context)
    context.service = start_program(
        context, "standins.service", "--delay-ms=5", f"--journal={context.journal}"
    )


@when("the engine is set to the faults {faults}")
def set_engine_faults(context, faults):
    assert post_faults(context.engine.url, faults) == 200


@when("the service is set to the faults {faults}")
def set_service_faults(context, faults):
    assert post_faults(context.service.url, faults) == 200


@then("the faults {faults} are refused with status 400")
def check_refused_faults(context, faults):
    assert post_faults(context.engine.url, faults) == 400


@then("a request is refused with status 503 and the header X-Not-Started")
def check_refused_request(context):
    url = f"{context.engine.url}/v1/completions"
    response, _ = run_coroutine(send_request("POST", url, json=COMPLETION))
    assert response.status == 503
    assert response.headers["X-Not-Started"] == "true"


@then("the journal is empty")
def check_journal_empty(context):
    assert read_journal(context.journal) == []


@then("a request receives no response while the load report is served")
def check_silence(context):
    async def send_both():
        url = context.engine.url
        request_task = asyncio.ensure_future(
            send_request("POST", f"{url}/v1/completions", json=COMPLETION)
        )
        _, content = await send_request("GET", f"{url}/load")
        done, _ = await asyncio.wait([request_task], timeout=SILENCE_WINDOW_S)
        request_task.cancel()
        return content, done

    content, done = run_coroutine(send_both())
    assert json.loads(content)["slots"] == 16
    assert not done


@then("a stream ends after 3 events without its end marker")
def check_truncated_stream(context):
    url = f"{context.engine.url}/v1/completions"
    _, content = run_coroutine(send_request("POST", url, json=LONG_STREAM))
    assert content.count(b"id: ") == 3, content
    assert b"[DONE]" not in content


@then("the load report shows 7 running requests and that the engine is leaving")
def check_false_report(context):
    _, content = run_coroutine(send_request("GET", f"{context.engine.url}/load"))
    report = json.loads(content)
    assert (report["running"], report["is_leaving"]) == (7, True), report


@then("a connection to the engine is refused")
def check_refused_connection(context):
    try:
        run_coroutine(send_request("GET", f"{context.engine.url}/load"))
    except aiohttp.ClientConnectorError:
        return
    raise AssertionError(
        "the closed engine accepted a connection, which it must refuse"
    )


@when('the service is called with the idempotency key "{key}"')
def call_service(context, key):
    context.call = ("POST", "/returns/7?year=2026", b"headcount=12")
    method, path, body = context.call
    headers = {"Idempotency-Key": key}
    try:
        _, context.content = run_coroutine(
            send_request(method, context.service.url + path, data=body, headers=headers)
        )
    except aiohttp.ServerDisconnectedError:
        context.content = None


@then("its response is the expected one")
def check_service_response(context):
    assert context.content == make_expected_service_response(*context.call)


@then("no response arrives")
def check_no_response(context):
    assert context.content is None


@then('its journal records that "{key}" was received, started and ended')
def check_service_journal(context, key):
    events = [
        event["event"]
        for event in read_journal(context.journal)
        if event["idempotency_key"] == key
    ]
    assert events == ["received", "started", "ended"], events
