import asyncio

import aiohttp
import openai
from behave import given, then, when

from features.programs import start_program
from features.standins.requests import (
    COMPLETION,
    LONG,
    TIMEOUT_S,
    make_journal,
    run,
)
from standins.answers import expected_length, expected_text
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
def start(context):
    start_engine(context)


@given("an engine with 1 slot")
def start_one_slot(context):
    start_engine(context, "--slots=1")


@when("the client library requests a {form} {kind}")
def ask(context, form, kind):
    client = openai.OpenAI(
        base_url=f"{context.engine.url}/v1", api_key="any", timeout=TIMEOUT_S
    )
    context.body = CHAT if kind == "chat" else COMPLETION
    resource = client.chat.completions if kind == "chat" else client.completions
    if form == "whole":
        choice = resource.create(**context.body).choices[0]
        context.answer_text = choice.message.content if kind == "chat" else choice.text
        return
    choices = [chunk.choices[0] for chunk in resource.create(**context.body, stream=1)]
    parts = [c.delta.content if kind == "chat" else c.text for c in choices]
    context.answer_text = "".join(parts)


@then("it receives the complete expected response")
def check_answer(context):
    assert context.answer_text == expected_text(context.body), context.answer_text


async def read_event_ids(session, url, after, stop_at):
    ids = []
    headers = {"Last-Event-ID": str(after)}
    body = {**COMPLETION, "stream": True}
    async with session.post(url, json=body, headers=headers) as answer:
        async for line in answer.content:
            if line.startswith(b"id: "):
                ids.append(int(line[4:]))
            if ids and ids[-1] == stop_at:
                return ids
    return ids


@when("a stream is read up to event 5 and resumed after it on a new connection")
def resume(context):
    async def read_both():
        url = f"{context.engine.url}/v1/completions"
        async with aiohttp.ClientSession() as session:
            first = await read_event_ids(session, url, 0, 5)
        async with aiohttp.ClientSession() as session:
            return first + await read_event_ids(session, url, 5, None)

    context.ids = run(read_both())


@then("the two connections together delivered each event of the response once")
def check_events(context):
    expected = list(range(1, expected_length(COMPLETION) + 1))
    assert len(expected) > 5
    assert context.ids == expected, context.ids


async def wait_for_waiting(session, url, waiting):
    while True:
        async with session.get(f"{url}/load") as answer:
            if (await answer.json())["waiting"] == waiting:
                return
        await asyncio.sleep(0.01)


@when("requests of priority {priorities} wait behind a running request")
def queue_requests(context, priorities):
    url = context.engine.url

    async def queue_all():
        async with aiohttp.ClientSession() as session:
            running = await session.post(f"{url}/v1/completions", json=LONG)
            tasks = []
            for count, priority in enumerate(priorities.split(", "), start=1):
                body = {**COMPLETION, "priority": int(priority)}
                headers = {"X-Request-Id": priority}
                posting = session.post(
                    f"{url}/v1/completions", json=body, headers=headers
                )
                tasks.append(asyncio.ensure_future(posting))
                await wait_for_waiting(session, url, count)
            running.close()
            await asyncio.gather(*tasks)

    run(queue_all())


@then("they start in the order of priority {priorities}")
def check_order(context, priorities):
    events = read_journal(context.journal)
    started = [e["request_id"] for e in events if e["event"] == "started"]
    assert started[1:] == priorities.split(", "), started


@given(
    "an engine speed of {step_ms:g} ms per step and {each_ms:g} ms per request in the batch"
)
def make_speed(context, step_ms, each_ms):
    context.speed = EngineSpeed(
        step_ms=step_ms, step_per_request_ms=each_ms, prefill_ms_per_token=0.2
    )


@then("a step of 1 request takes {one_ms:g} ms and a step of 16 takes {many_ms:g} ms")
def check_steps(context, one_ms, many_ms):
    assert abs(compute_step_s(context.speed, 1, 1) * 1000 - one_ms) < 1e-6
    assert abs(compute_step_s(context.speed, 16, 1) * 1000 - many_ms) < 1e-6


@then("a step of 16 requests with a slowdown factor of {factor:g} takes {step_ms:g} ms")
def check_slow_step(context, factor, step_ms):
    assert abs(compute_step_s(context.speed, 16, factor) * 1000 - step_ms) < 1e-6


@when("a caller disconnects in the middle of a long stream")
def leave(context):
    async def read_and_leave():
        async with aiohttp.ClientSession() as session:
            url = f"{context.engine.url}/v1/completions"
            answer = await session.post(url, json=LONG)
            await answer.content.readline()
            answer.close()

    run(read_and_leave())


@then("the next request receives the expected response")
def ask_next(context):
    context.execute_steps("When the client library requests a whole completion")
    check_answer(context)


@then("the tokens of the cancelled request are counted as wasted")
def check_wasted(context):
    async def read_statistics():
        async with aiohttp.ClientSession() as session:
            async with session.get(f"{context.engine.url}/statistics") as answer:
                return await answer.json()

    statistics = run(read_statistics())
    answered = expected_length(COMPLETION)
    generated = statistics["tokens_generated"]
    assert statistics["tokens_wasted"] == generated - answered > 0, statistics


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
    started = []

    async def admit():
        stepping = asyncio.ensure_future(run_batch(context.batch))
        for _ in range(2):
            job = Job(
                priority=0,
                prompt="x" * 1024,
                length=1,
                produced=0,
                on_start=lambda: started.append(context.batch.prefix_hits),
            )
            submit_job(context.batch, job)
            await job.progress.wait()
        stepping.cancel()

    run(admit())
    context.hits = started


@then("only the second admission finds its prefix cached")
def check_hits(context):
    assert context.hits == [0, 1], context.hits


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
