import asyncio

import aiohttp
import openai
from behave import given, then, when

from features.programs import start_program
from features.standins.requests import (
    COMPLETION,
    LONG_STREAM,
    TIMEOUT_S,
    make_journal,
    run_coroutine,
)
from standins.answers import count_expected_tokens, make_expected_text
from standins.batching import (
    Batch,
    EngineSpeed,
    Job,
    compute_step_s,
    run_batch,
    submit_job,
)
from standins.faults import FaultState, UpstreamFaults, set_faults
from standins.journal import read_journal
from standins.load_report import LoadHistory, LoadSample, make_report

CHAT = {
    "model": "m",
    "messages": [{"role": "user", "content": "hello"}],
    "max_tokens": 80,
}


def start_engine(context, *arguments):
    make_journal(context)
    context.engine = start_program(
        context,
        "standins.engine",
        "--models=m",
        "--step-ms=2",
        "--step-per-request-ms=0",
        f"--journal={context.journal}",
        *arguments,
    )


@given("an engine")
def start_default_engine(context):
    start_engine(context)


@given("an engine with 1 slot")
def start_engine_with_one_slot(context):
    start_engine(context, "--slots=1")


@when("the client library requests a {form} {kind}")
def request_generation(context, form, kind):
    client = openai.OpenAI(
        base_url=f"{context.engine.url}/v1", api_key="any", timeout=TIMEOUT_S
    )
    context.body = CHAT if kind == "chat" else COMPLETION
    resource = client.chat.completions if kind == "chat" else client.completions
    if form == "whole":
        choice = resource.create(**context.body).choices[0]
        context.response_text = (
            choice.message.content if kind == "chat" else choice.text
        )
        return
    choices = [chunk.choices[0] for chunk in resource.create(**context.body, stream=1)]
    parts = [
        choice.delta.content if kind == "chat" else choice.text for choice in choices
    ]
    context.response_text = "".join(parts)


@then("it receives the complete expected response")
def check_response(context):
    assert context.response_text == make_expected_text(context.body), (
        context.response_text
    )


async def read_event_ids(session, url, after, stop_at):
    ids = []
    headers = {"Last-Event-ID": str(after)}
    body = {**COMPLETION, "stream": True}
    async with session.post(url, json=body, headers=headers) as response:
        async for line in response.content:
            if line.startswith(b"id: "):
                ids.append(int(line[4:]))
            if ids and ids[-1] == stop_at:
                return ids
    return ids


@when("a stream is read up to event 5 and resumed after it on a new connection")
def resume_stream(context):
    async def read_both():
        url = f"{context.engine.url}/v1/completions"
        async with aiohttp.ClientSession() as session:
            first = await read_event_ids(session, url, 0, 5)
        async with aiohttp.ClientSession() as session:
            return first + await read_event_ids(session, url, 5, None)

    context.ids = run_coroutine(read_both())


@then("the two connections together delivered each event of the response once")
def check_events(context):
    expected = list(range(1, count_expected_tokens(COMPLETION) + 1))
    assert len(expected) > 5
    assert context.ids == expected, context.ids


async def wait_for_queue_length(session, url, queue_length):
    while True:
        async with session.get(f"{url}/load") as response:
            if (await response.json())["waiting"] == queue_length:
                return
        await asyncio.sleep(0.01)


@when("requests of priority {priorities} wait behind a running request")
def queue_requests(context, priorities):
    url = context.engine.url

    async def queue_all():
        async with aiohttp.ClientSession() as session:
            running = await session.post(f"{url}/v1/completions", json=LONG_STREAM)
            tasks = []
            for count, priority in enumerate(priorities.split(", "), start=1):
                body = {**COMPLETION, "priority": int(priority)}
                headers = {"X-Request-Id": priority}
                post = session.post(f"{url}/v1/completions", json=body, headers=headers)
                tasks.append(asyncio.ensure_future(post))
                await wait_for_queue_length(session, url, count)
            running.close()
            await asyncio.gather(*tasks)

    run_coroutine(queue_all())


@then("they start in the order of priority {priorities}")
def check_start_order(context, priorities):
    events = read_journal(context.journal)
    started = [e["request_id"] for e in events if e["event"] == "started"]
    assert started[1:] == priorities.split(", "), started


@given(
    "an engine speed of {step_ms:g} ms per step and {per_request_ms:g} ms per request in the batch"
)
def make_speed(context, step_ms, per_request_ms):
    context.speed = EngineSpeed(
        step_ms=step_ms, step_per_request_ms=per_request_ms, prefill_ms_per_token=0.2
    )


@then(
    "a step of 1 request takes {single_ms:g} ms and a step of 16 takes {sixteen_ms:g} ms"
)
def check_step_durations(context, single_ms, sixteen_ms):
    assert abs(compute_step_s(context.speed, 1, 1) * 1000 - single_ms) < 1e-6
    assert abs(compute_step_s(context.speed, 16, 1) * 1000 - sixteen_ms) < 1e-6


@then("a step of 16 requests with a slowdown factor of {factor:g} takes {step_ms:g} ms")
def check_slow_step_duration(context, factor, step_ms):
    assert abs(compute_step_s(context.speed, 16, factor) * 1000 - step_ms) < 1e-6


@when("a caller disconnects in the middle of a long stream")
def disconnect_mid_stream(context):
    async def read_and_disconnect():
        async with aiohttp.ClientSession() as session:
            url = f"{context.engine.url}/v1/completions"
            response = await session.post(url, json=LONG_STREAM)
            await response.content.readline()
            response.close()

    run_coroutine(read_and_disconnect())


@then("the next request receives the expected response")
def check_next_request(context):
    context.execute_steps("When the client library requests a whole completion")
    check_response(context)


@then("the tokens of the cancelled request are counted as wasted")
def check_wasted_tokens(context):
    async def read_statistics():
        async with aiohttp.ClientSession() as session:
            async with session.get(f"{context.engine.url}/statistics") as response:
                return await response.json()

    statistics = run_coroutine(read_statistics())
    delivered = count_expected_tokens(COMPLETION)
    generated = statistics["tokens_generated"]
    assert statistics["tokens_wasted"] == generated - delivered > 0, statistics


@given("a batch with room for 4 prompt blocks")
def make_batch(context):
    context.fault_state = FaultState()
    context.batch = Batch(
        slots=1,
        cache_prefixes=4,
        speed=EngineSpeed(step_ms=1, step_per_request_ms=0, prefill_ms_per_token=0.1),
        fault_state=context.fault_state,
    )


@when("a prompt of 4 blocks is admitted twice")
def admit_twice(context):
    prefix_hits = []

    async def admit():
        batch_task = asyncio.ensure_future(run_batch(context.batch))
        for _ in range(2):
            job = Job(
                priority=0,
                prompt="x" * 1024,
                length=1,
                produced=0,
                on_start=lambda: prefix_hits.append(context.batch.prefix_hits),
            )
            submit_job(context.batch, job)
            await job.progress.wait()
        batch_task.cancel()

    run_coroutine(admit())
    context.prefix_hits = prefix_hits


@then("only the second admission finds its prefix cached")
def check_hits(context):
    assert context.prefix_hits == [0, 1], context.prefix_hits


@given("load samples at 0, 1 and 2 s")
def make_samples(context):
    context.history = LoadHistory(lag_s=1.5, slots=4)
    for second in range(3):
        sample = LoadSample(time_s=float(second), running=second, waiting=0)
        context.history.samples.append(sample)


@then("a report with a lag of 1.5 s at 2.5 s shows the sample of 1 s")
def check_report(context):
    state = FaultState()
    set_faults(state, UpstreamFaults(is_leaving=True))
    current = LoadSample(time_s=2.5, running=9, waiting=9)
    report = make_report(context.history, state, current)
    assert report == {
        "running": 1,
        "waiting": 0,
        "slots": 4,
        "is_leaving": True,
        "age_s": 1.5,
    }, report
