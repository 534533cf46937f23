"""The platform's stand-in: table service, object store and instance list.

Usage:
    platform [options]

Options:
    --host=HOST         Address to listen on [default: 127.0.0.1].
    --port=PORT         Port; 0 takes a free one [default: 0].
    --instances=FILE    JSON list of instances and upstreams to begin with.
    --list-lag-s=S      How far the instance list lags [default: 0].
    --writes-per-s=N    Rows and objects written in a second [default: 500].
    --seed=N            Seed of which replies are lost [default: 1].
    --journal=FILE      Journal of the committed transactions.
"""

import asyncio
import base64
import time
from pathlib import Path

from docopt import docopt
from pydantic import BaseModel, TypeAdapter
from sanic import Request, Sanic, response

from jujubenotch.tables import ConflictError, InstanceListEntry, Write
from standins.journal import open_journal
from standins.platform_state import (
    PlatformFaults,
    PlatformState,
    WriteRefusal,
    publish_instances,
    select_instances,
    take_write_tokens,
)
from standins.serving import make_app, run_server

NOT_APPLIED = {"X-Not-Applied": "true"}
INSTANCES = TypeAdapter(list[InstanceListEntry])


class WriteDocument(BaseModel):
    """One write of a transaction; the value is base64, and null deletes the row."""

    table: str
    key: str
    value: str | None
    expected_version: int


class TransactionDocument(BaseModel):
    """Writes that are applied atomically."""

    writes: list[WriteDocument]


def make_platform_app(state: PlatformState) -> Sanic:
    """Make the platform's HTTP application.

    :param state: The state that the application serves.
    """
    app = make_app("platform")
    _add_table_routes(app, state)
    _add_object_routes(app, state)
    _add_instance_routes(app, state)
    _add_fault_routes(app, state)
    return app


def _add_table_routes(app, state):
    async def transact(request: Request):
        document = TransactionDocument.model_validate_json(request.body)
        writes = [_decode_write(write) for write in document.writes]
        # A received transaction is completed even if the caller disconnects.
        return await asyncio.shield(_commit(state, request, writes))

    async def read(request: Request):
        refusal = await _admit_read(state)
        if refusal:
            return refusal
        row = await state.store.read(request.args.get("table"), request.args.get("key"))
        if row is None:
            return response.json(None, 404)
        return response.json(_encode_row(row))

    async def scan(request: Request):
        refusal = await _admit_read(state)
        if refusal:
            return refusal
        after_key = request.args.get("after_key", "")
        rows = await state.store.scan(request.args.get("table"), after_key)
        return response.json([_encode_row(row) for row in rows])

    app.add_route(transact, "/transactions", methods=["POST"], name="transact")
    app.add_route(read, "/row", name="read")
    app.add_route(scan, "/rows", name="scan")


def _add_object_routes(app, state):
    async def put(request: Request):
        return await asyncio.shield(_put_object(state, request))

    async def get(request: Request):
        refusal = await _admit_read(state)
        if refusal:
            return refusal
        content = await state.store.get_object(request.args.get("name"))
        if content is None:
            return response.empty(404)
        return response.raw(content)

    app.add_route(put, "/object", methods=["PUT"], name="put")
    app.add_route(get, "/object", name="get")


def _add_instance_routes(app, state):
    async def list_instances(request: Request):
        refusal = await _admit_read(state)
        if refusal:
            return refusal
        listed = select_instances(state, time.monotonic())
        return response.raw(INSTANCES.dump_json(listed), content_type="text/json")

    async def set_instances(request: Request):
        instances = INSTANCES.validate_json(request.body)
        publish_instances(state, instances, time.monotonic())
        names = [instance.name for instance in instances]
        leaving = [instance.name for instance in instances if instance.is_leaving]
        state.journal("published", names=names, leaving=leaving)
        return response.empty()

    app.add_route(list_instances, "/instances", name="list")
    app.add_route(set_instances, "/instances", methods=["PUT"], name="publish")


def _add_fault_routes(app, state):
    async def change_faults(request: Request):
        faults = PlatformFaults.model_validate_json(request.body)
        state.faults = faults
        if not faults.is_silent:
            state.responses_allowed.set()
        else:
            state.responses_allowed.clear()
        return response.json(faults.model_dump())

    async def get_statistics(request: Request):
        return response.json({"reads": state.reads, "writes": state.writes})

    app.add_route(change_faults, "/faults", methods=["POST"], name="faults")
    app.add_route(get_statistics, "/statistics", name="statistics")


async def _commit(state, request, writes):
    refusal = await _admit_write(state, len(writes))
    if refusal:
        return refusal
    try:
        await state.store.transact(writes)
    except ConflictError as error:
        return response.json({"table": error.table, "key": error.key}, 409)
    state.journal("committed", writes=[_describe_write(write) for write in writes])
    return _reply_to_write(state, request)


async def _put_object(state, request):
    refusal = await _admit_write(state, 1)
    if refusal:
        return refusal
    await state.store.put_object(request.args.get("name"), request.body)
    return _reply_to_write(state, request)


async def _admit_read(state):
    refusal = await _apply_faults(state)
    state.reads += 1
    return refusal


async def _admit_write(state, count):
    refusal = await _apply_faults(state)
    if refusal:
        return refusal
    limit_refusal = take_write_tokens(state, count, time.monotonic())
    if isinstance(limit_refusal, WriteRefusal):
        return response.json({"reason": limit_refusal.reason}, 503, headers=NOT_APPLIED)
    return None


async def _apply_faults(state):
    await state.responses_allowed.wait()
    await asyncio.sleep(state.faults.delay_s)
    if state.faults.is_down:
        return response.json({"reason": "outage"}, 503, headers=NOT_APPLIED)
    return None


def _reply_to_write(state, request):
    if state.generator.random() < state.faults.lost_reply_ratio:
        request.transport.abort()
    return response.json({})


def _decode_write(document):
    value = None
    if document.value is not None:
        value = base64.b64decode(document.value)
    return Write(
        table=document.table,
        key=document.key,
        value=value,
        expected_version=document.expected_version,
    )


def _describe_write(write):
    value = None if write.value is None else write.value.decode(errors="replace")
    return {
        "table": write.table,
        "key": write.key,
        "value": value,
        "version": write.expected_version + 1,
    }


def _encode_row(row):
    value = base64.b64encode(row.value).decode()
    return {"key": row.key, "value": value, "version": row.version}


def main() -> None:
    """Run the platform's stand-in."""
    arguments = docopt(__doc__)

    def build_app():
        state = PlatformState(
            list_lag_s=float(arguments["--list-lag-s"]),
            writes_per_s=float(arguments["--writes-per-s"]),
            seed=int(arguments["--seed"]),
            journal=open_journal(arguments["--journal"]),
        )
        if arguments["--instances"]:
            content = Path(arguments["--instances"]).read_bytes()
            instances = INSTANCES.validate_json(content)
            publish_instances(state, instances, time.monotonic())
        return make_platform_app(state)

    host, port = arguments["--host"], int(arguments["--port"])
    run_server(build_app, host, port, lambda app: [])


if __name__ == "__main__":
    main()
