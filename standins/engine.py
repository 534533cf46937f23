"""A model engine's stand-in.

Usage:
    engine [options]

Options:
    --name=NAME                 Its name [default: engine].
    --host=HOST                 Address to listen on [default: 127.0.0.1].
    --port=PORT                 Port; 0 takes a free one [default: 0].
    --models=NAMES              Models, comma-separated [default: model-a].
    --slots=N                   Requests run at once [default: 16].
    --seed=N                    Seed of the steps' jitter [default: 1].
    --step-ms=MS                Decode step of an empty batch [default: 20].
    --step-per-request-ms=MS    Added by each request [default: 0.5].
    --prefill-ms-per-token=MS   Time to take in a token [default: 0.2].
    --cache-prefixes=N          Prompt blocks in the prefix cache [default: 256].
    --load-lag-s=S              Age of the load report [default: 0].
    --journal=FILE              Journal of what it ran.
"""

import asyncio
from dataclasses import dataclass

import orjson
from docopt import docopt
from pydantic import ValidationError
from sanic import Request, Sanic, response

from standins.answers import compute_request_digest, count_expected_tokens
from standins.batching import (
    Batch,
    EngineSpeed,
    Job,
    cancel_job,
    read_load,
    run_batch,
    submit_job,
)
from standins.faults import FaultState
from standins.journal import Journal, open_journal
from standins.load_report import LoadHistory, sample_load
from standins.openai_format import (
    END_EVENT,
    GenerationRequest,
    make_error,
    make_events,
    make_unstreamed_body,
    read_prompt,
)
from standins.serving import make_app, run_server
from standins.upstream_controls import add_control_routes


@dataclass(kw_only=True)
class Engine:
    """The complete state of one engine.

    :param models: Names of the models that the engine serves.
    """

    name: str
    models: tuple[str, ...]
    batch: Batch
    fault_state: FaultState
    history: LoadHistory
    journal: Journal


def make_engine(arguments: dict[str, str]) -> Engine:
    """Make an engine from its command-line arguments.

    :param arguments: The arguments, parsed by docopt.
    """
    fault_state = FaultState()
    speed = EngineSpeed(
        step_ms=float(arguments["--step-ms"]),
        step_per_request_ms=float(arguments["--step-per-request-ms"]),
        prefill_ms_per_token=float(arguments["--prefill-ms-per-token"]),
    )
    batch = Batch(
        slots=int(arguments["--slots"]),
        cache_prefixes=int(arguments["--cache-prefixes"]),
        speed=speed,
        fault_state=fault_state,
        seed=int(arguments["--seed"]),
    )
    return Engine(
        name=arguments["--name"],
        models=tuple(arguments["--models"].split(",")),
        batch=batch,
        fault_state=fault_state,
        history=LoadHistory(lag_s=float(arguments["--load-lag-s"]), slots=batch.slots),
        journal=open_journal(arguments["--journal"]),
    )


def make_engine_app(engine: Engine) -> Sanic:
    """Make the engine's HTTP application.

    :param engine: The engine that the application serves.
    """
    app = make_app(f"engine-{engine.name}")

    async def list_models(request: Request):
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": engine.name}
            for name in engine.models
        ]
        return response.json({"object": "list", "data": data})

    async def generate(request: Request):
        return await _generate(engine, request)

    app.add_route(list_models, "/v1/models", name="models")
    app.add_route(generate, "/v1/chat/completions", methods=["POST"], name="chat")
    app.add_route(generate, "/v1/completions", methods=["POST"], name="completions")
    add_control_routes(
        app,
        fault_state=engine.fault_state,
        history=engine.history,
        read_current=lambda: read_load(engine.batch),
        read_statistics=lambda: _read_statistics(engine),
    )
    return app


async def _generate(engine, request):
    if engine.fault_state.faults.is_refusing:
        return response.json(
            make_error("the engine refuses work", "overloaded"),
            status=503,
            headers={"X-Not-Started": "true"},
        )
    try:
        body = orjson.loads(request.body)
        parameters = GenerationRequest.model_validate(body)
        resumed_from = int(request.headers.get("last-event-id", 0))
    except (ValidationError, ValueError) as error:
        return response.json(make_error(str(error), "invalid_request_error"), 400)
    if parameters.model not in engine.models:
        message = f"model {parameters.model!r} does not exist"
        return response.json(make_error(message, "invalid_request_error"), 404)
    return await _run_job(engine, request, body, parameters, resumed_from)


async def _run_job(engine, request, body, parameters, resumed_from):
    length = count_expected_tokens(body)
    identity = {
        "request_id": request.headers.get("x-request-id"),
        "idempotency_key": request.headers.get("idempotency-key"),
        "digest": compute_request_digest(body),
    }
    engine.journal(
        "received",
        **identity,
        priority=parameters.priority,
        stream=parameters.stream,
        resumed_from=resumed_from,
    )
    job = Job(
        priority=parameters.priority,
        prompt=read_prompt(body),
        length=length,
        produced=min(resumed_from, length),
        resumed_from=min(resumed_from, length),
        on_start=lambda: engine.journal("started", **identity),
    )
    sent_events = 0
    end_state = "cancelled"
    if job.produced < length:
        submit_job(engine.batch, job)
    try:
        if not parameters.stream:
            unstreamed_response = await _make_unstreamed_response(engine, body, job)
            if engine.fault_state.faults.is_losing_answers:
                request.transport.abort()
            sent_events, end_state = length, "completed"
            return unstreamed_response
        stream = await request.respond(
            content_type="text/event-stream", headers={"Cache-Control": "no-cache"}
        )
        async for chunk, event_count in _stream_events(engine, body, job):
            await stream.send(chunk)
            sent_events += event_count
        if sent_events == length - job.resumed_from:
            await stream.send(END_EVENT)
            end_state = "completed"
        else:
            end_state = "truncated"
        await stream.eof()
    finally:
        if end_state != "completed":
            cancel_job(engine.batch, job)
        engine.journal("ended", **identity, events=sent_events, end_state=end_state)


async def _make_unstreamed_response(engine, body, job):
    while job.produced < job.length:
        await _wait_for_progress(engine, job)
    await asyncio.sleep(engine.fault_state.faults.answer_delay_s)
    await engine.fault_state.responses_allowed.wait()
    return response.raw(make_unstreamed_body(body), content_type="application/json")


async def _stream_events(engine, body, job):
    # Yields all events that are ready as one chunk, with their number.
    events = make_events(body)
    position = job.resumed_from
    while position < job.length:
        if job.produced <= position:
            await _wait_for_progress(engine, job)
            continue
        await asyncio.sleep(engine.fault_state.faults.answer_delay_s)
        await engine.fault_state.responses_allowed.wait()
        end = job.produced
        event_limit = engine.fault_state.faults.end_after_events
        if event_limit is not None:
            end = min(end, job.resumed_from + event_limit)
        if end <= position:
            return
        yield b"".join(events[position:end]), end - position
        position = end


async def _wait_for_progress(engine, job):
    job.progress.clear()
    await job.progress.wait()
    await engine.fault_state.responses_allowed.wait()


def _read_statistics(engine):
    batch = engine.batch
    return {
        "name": engine.name,
        "requests": batch.submitted,
        "tokens_generated": batch.tokens_generated,
        "tokens_wasted": batch.tokens_wasted,
        "prefix_hits": batch.prefix_hits,
        "busy_slot_s": round(batch.busy_slot_s, 3),
    }


def main() -> None:
    """Run the model engine's stand-in."""
    arguments = docopt(__doc__)
    state = {}

    def build_app():
        state["engine"] = make_engine(arguments)
        return make_engine_app(state["engine"])

    def make_background_coroutines(app):
        engine = state["engine"]
        return [
            run_batch(engine.batch),
            sample_load(engine.history, lambda: read_load(engine.batch)),
        ]

    run_server(
        build_app,
        arguments["--host"],
        int(arguments["--port"]),
        make_background_coroutines,
    )


if __name__ == "__main__":
    main()
