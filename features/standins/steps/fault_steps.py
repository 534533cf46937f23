import asyncio
import json

import aiohttp
from behave import given, then, when

from features.programs import start_program
from features.standins.requests import (
    COMPLETION,
    LONG,
    make_journal,
    run,
)
from standins.answers import expected_service_answer
from standins.journal import read_journal

SILENCE_S = 0.3


async def request(method, url, **arguments):
    async with aiohttp.ClientSession() as session:
        async with session.request(method, url, **arguments) as answer:
            return answer, await answer.read()


def post_faults(url, faults):
    answer, _ = run(request("POST", f"{url}/faults", json=json.loads(faults)))
    return answer.status


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
def check_bad_faults(context, faults):
    assert post_faults(context.engine.url, faults) == 400


@then("a request is refused with status 503 and the header X-Not-Started")
def check_refused(context):
    url = f"{context.engine.url}/v1/completions"
    answer, _ = run(request("POST", url, json=COMPLETION))
    assert answer.status == 503
    assert answer.headers["X-Not-Started"] == "true"


@then("the journal is empty")
def check_journal_empty(context):
    assert read_journal(context.journal) == []


@then("a request receives no response while the load report is served")
def check_silence(context):
    async def ask_both():
        url = context.engine.url
        asking = asyncio.ensure_future(
            request("POST", f"{url}/v1/completions", json=COMPLETION)
        )
        _, content = await request("GET", f"{url}/load")
        done, _ = await asyncio.wait([asking], timeout=SILENCE_S)
        asking.cancel()
        return content, done

    content, done = run(ask_both())
    assert json.loads(content)["slots"] == 16
    assert not done


@then("a stream ends after 3 events without its end marker")
def check_short(context):
    url = f"{context.engine.url}/v1/completions"
    _, content = run(request("POST", url, json=LONG))
    assert content.count(b"id: ") == 3, content
    assert b"[DONE]" not in content


@then("the load report shows 7 running requests and that the engine is leaving")
def check_false_report(context):
    _, content = run(request("GET", f"{context.engine.url}/load"))
    report = json.loads(content)
    assert (report["running"], report["is_leaving"]) == (7, True), report


@then("a connection to the engine is refused")
def check_closed(context):
    try:
        run(request("GET", f"{context.engine.url}/load"))
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
        _, context.content = run(
            request(method, context.service.url + path, data=body, headers=headers)
        )
    except aiohttp.ServerDisconnectedError:
        context.content = None


@then("its response is the expected one")
def check_service_answer(context):
    assert context.content == expected_service_answer(*context.call)


@then("no response arrives")
def check_no_answer(context):
    assert context.content is None


@then('its journal records that "{key}" was received, started and ended')
def check_service_journal(context, key):
    events = [
        event["event"]
        for event in read_journal(context.journal)
        if event["idempotency_key"] == key
    ]
    assert events == ["received", "started", "ended"], events
