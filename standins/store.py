"""A stand-in for the store of the users' platform, which has change feeds.

The store keeps rows in tables and serves reads and long polls for changes; it also
keeps objects and lists their names. Tests
can make it unavailable, silent or slow, drop its history of changes, or restore it
from an earlier copy.
"""

import asyncio
import base64
import time
from dataclasses import dataclass, field

import orjson
from aiohttp import web

MS_PER_S = 1000
OK = 200
MAX_NAMES = 1000
NOT_FOUND = 404
SERVICE_UNAVAILABLE = 503
GONE = 410
PRECONDITION_FAILED = 412
MAX_ROWS = 10_000
ERA_HEADER = "Store-Era"
SLOW_RESPONSE_CHUNKS = 6


@dataclass(kw_only=True)
class StoredRow:
    """A row, or the tombstone of a deleted row."""

    table: str
    key: str
    value: bytes
    revision: int
    part: str = ""
    is_deleted: bool = False


@dataclass(kw_only=True)
class StoreState:
    """The rows and the active faults of the store.

    :param objects: The contents of the objects, by name.
    :param revision: The revision of the newest change.
    :param oldest_readable_revision: The lowest revision from which a change feed can be
        read; a request with an older one gets status 410.
    :param era: Counts how often the store was restored from a copy.
    :param fault: Empty, ``unavailable`` or ``silent``.
    :param transfer_s: Time that the body of a response takes to transfer.
    :param silent_long_polls: Numbers of the long polls that never get a response.
    :param long_polls: The table of each long poll in progress, by its number.
    :param spoilt_responses: Bodies that replace those of the next responses with rows.
    :param request_paths: The paths of all requests received, in order.

    >>> state = StoreState()
    >>> write_row(state, "op", "config", b"{}")
    >>> state.revision
    1
    """

    rows: dict[tuple[str, str, str], StoredRow] = field(default_factory=dict)
    objects: dict[str, bytes] = field(default_factory=dict)
    revision: int = 0
    oldest_readable_revision: int = 0
    era: int = 0
    fault: str = ""
    transfer_s: float = 0.0
    silent_long_polls: set[int] = field(default_factory=set)
    long_polls: dict[int, str] = field(default_factory=dict)
    spoilt_responses: list[bytes] = field(default_factory=list)
    request_paths: list[str] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)


def write_row(state: StoreState, table: str, key: str, value: bytes) -> None:
    """Write a row.

    :param state: The store; changed in place.
    :param table: The table.
    :param key: The key of the row.
    :param value: The value of the row.
    """
    _store_row(state, StoredRow(table=table, key=key, value=value, revision=0))


def delete_row(state: StoreState, table: str, key: str) -> None:
    """Delete a row.

    :param state: The store; changed in place.
    :param table: The table.
    :param key: The key of the row.
    """
    row = StoredRow(table=table, key=key, value=b"", revision=0, is_deleted=True)
    _store_row(state, row)


def drop_history(state: StoreState) -> None:
    """Drop the history, so that feeds from the current revision or earlier get 410.

    :param state: The store; changed in place.
    """
    state.oldest_readable_revision = state.revision + 1


@dataclass(frozen=True, kw_only=True)
class StoreCopy:
    """The rows and the objects of the store at one revision."""

    rows: dict[tuple[str, str, str], StoredRow]
    objects: dict[str, bytes]
    revision: int


def copy_store(state: StoreState) -> StoreCopy:
    """Copy the rows.

    :param state: The store.
    :returns: The copy.
    """
    return StoreCopy(
        rows=dict(state.rows), objects=dict(state.objects), revision=state.revision
    )


def restore_store(state: StoreState, copy: StoreCopy) -> None:
    """Restore the rows and the revision of a copy, and begin a new era.

    Change feeds in progress end without a page.

    :param state: The store; changed in place.
    :param copy: The copy.
    """
    state.rows = dict(copy.rows)
    state.objects = dict(copy.objects)
    state.revision = copy.revision
    state.era += 1
    _wake_feeds(state)


def set_fault(state: StoreState, fault: str) -> None:
    """Activate a fault, or end it.

    :param state: The store; changed in place.
    :param fault: ``unavailable`` or ``silent``, or empty to end the fault.
    """
    state.fault = fault


def silence_long_polls(state: StoreState, table: str) -> None:
    """Make the long polls in progress on a table never get a response.

    :param state: The store; changed in place.
    :param table: The table.
    """
    state.silent_long_polls |= {
        poll_number
        for poll_number, polled_table in state.long_polls.items()
        if polled_table == table
    }


def build_store_app(state: StoreState) -> web.Application:
    """Build the store's HTTP interface.

    :param state: The store.
    :returns: The application.
    """

    async def serve_get(request):
        return await _handle_request(state, request, _read_rows)

    async def serve_feed(request):
        return await _handle_request(state, request, _read_feed)

    async def serve_object(request):
        return await _handle_request(state, request, _put_object)

    async def serve_content(request):
        return await _handle_request(state, request, _get_object)

    async def serve_removal(request):
        return await _handle_request(state, request, _drop_object)

    async def serve_names(request):
        return await _handle_request(state, request, _list_names)

    async def serve_transaction(request):
        return await _handle_request(state, request, _run_transaction)

    app = web.Application()
    app.router.add_get("/v1/rows-get", serve_get)
    app.router.add_get("/v1/rows-feed", serve_feed)
    app.router.add_post("/v1/rows-tx", serve_transaction)
    app.router.add_put("/v1/blob-put/{name}", serve_object)
    app.router.add_get("/v1/blob-get/{name}", serve_content)
    app.router.add_delete("/v1/blob-drop/{name}", serve_removal)
    app.router.add_get("/v1/blob-list", serve_names)
    return app


def _store_row(state, row):
    _store_rows(state, [row])


def _store_rows(state, rows):
    state.revision += 1
    for row in rows:
        row.revision = state.revision
        state.rows[row.table, row.part, row.key] = row
    _wake_feeds(state)


def _wake_feeds(state):
    state.changed.set()
    state.changed = asyncio.Event()


async def _handle_request(state, request, read):
    state.request_paths.append(request.path)
    if state.fault == "silent":
        await asyncio.Event().wait()
    if state.fault == "unavailable":
        return web.Response(status=SERVICE_UNAVAILABLE)
    response = await read(state, request)
    if state.spoilt_responses and read in (_read_rows, _read_feed):
        response = web.Response(
            body=state.spoilt_responses.pop(0), content_type="application/json"
        )
    response.headers[ERA_HEADER] = str(state.era)
    if state.transfer_s:
        return await _send_slowly(request, response, state.transfer_s)
    return response


async def _send_slowly(request, complete_response, transfer_s):
    stream_response = web.StreamResponse(
        status=complete_response.status, headers=complete_response.headers
    )
    await stream_response.prepare(request)
    body = complete_response.body or b""
    chunk_size = -(-len(body) // SLOW_RESPONSE_CHUNKS) or 1
    for start in range(0, len(body), chunk_size):
        await asyncio.sleep(transfer_s / SLOW_RESPONSE_CHUNKS)
        await stream_response.write(body[start : start + chunk_size])
    return stream_response


async def _run_transaction(state, request):
    """Execute all of a transaction as one change, or nothing of it."""
    document = orjson.loads(await request.read())
    expected = document["expected-rev"]
    current = [state.rows.get(_read_address(each)) for each in expected]
    revisions = [
        row.revision if row is not None and not row.is_deleted else 0 for row in current
    ]
    if revisions != [each["schema-version"] for each in expected]:
        found = [row for row in current if row is not None and not row.is_deleted]
        return _make_response(state, found, status=PRECONDITION_FAILED)
    rows = [
        StoredRow(**{**write, "value": base64.b64decode(write["value"]), "revision": 0})
        for write in document["writes"]
    ]
    rows += [
        StoredRow(**{**address, "value": b"", "revision": 0, "is_deleted": True})
        for address in document["remove"]
    ]
    if rows:
        _store_rows(state, rows)
    return _make_response(state, [])


def _read_address(document):
    return document["table"], document.get("part", ""), document["key"]


async def _put_object(state, request):
    state.objects[request.match_info["name"]] = await request.read()
    return web.Response(status=OK)


async def _get_object(state, request):
    content = state.objects.get(request.match_info["name"])
    if content is None:
        return web.Response(status=NOT_FOUND)
    return web.Response(body=content)


async def _drop_object(state, request):
    if state.objects.pop(request.match_info["name"], None) is None:
        return web.Response(status=NOT_FOUND)
    return web.Response(status=OK)


async def _list_names(state, request):
    query = request.query
    names = sorted(
        name
        for name in state.objects
        if name.startswith(query["prefix"]) and name > query.get("since-rev", "")
    )
    body = {
        "names": names[:MAX_NAMES],
        "has-more": len(names) > MAX_NAMES,
    }
    return web.Response(body=orjson.dumps(body), content_type="application/json")


async def _read_rows(state, request):
    query = request.query
    first_key = query.get("from", "")
    rows = [
        row
        for (table, part, key), row in sorted(state.rows.items())
        if (table, part) == (query["table"], query.get("part", ""))
        and key >= first_key
        and not row.is_deleted
    ]
    limit = int(query.get("limit", MAX_ROWS))
    return _make_response(state, rows[:limit], has_more=len(rows) > limit)


async def _read_feed(state, request):
    query = request.query
    since_revision = int(query["since-rev"])
    if not state.oldest_readable_revision <= since_revision <= state.revision:
        return web.Response(status=GONE)
    era = state.era
    poll_number = len(state.request_paths)
    state.long_polls[poll_number] = query["table"]
    try:
        rows = await _wait_for_changes(state, query, since_revision)
    finally:
        del state.long_polls[poll_number]
    if poll_number in state.silent_long_polls:
        await asyncio.Event().wait()
    if state.fault or state.era != era:
        return web.Response(status=SERVICE_UNAVAILABLE)
    return _make_response(state, rows)


async def _wait_for_changes(state, query, since_revision):
    rows = _find_changes(state, query["table"], since_revision)
    deadline_s = time.monotonic() + int(query.get("wait-ms", "0")) / MS_PER_S
    era = state.era
    while (
        not rows
        and state.era == era
        and (remaining_s := deadline_s - time.monotonic()) > 0
    ):
        try:
            async with asyncio.timeout(remaining_s):
                await state.changed.wait()
        except TimeoutError:
            break
        rows = _find_changes(state, query["table"], since_revision)
    return rows


def _find_changes(state, table, since_revision):
    rows = [
        row
        for (row_table, _, _), row in state.rows.items()
        if row_table == table and row.revision > since_revision
    ]
    return sorted(rows, key=lambda row: row.revision)


def _make_response(state, rows, *, status=OK, has_more=False):
    body = {
        "rows": [_encode_row(row) for row in rows],
        "schema-version": state.revision,
        "now-ms": int(time.monotonic() * MS_PER_S),
        "has-more": has_more,
    }
    return web.Response(
        body=orjson.dumps(body), status=status, content_type="application/json"
    )


def _encode_row(row):
    if row.is_deleted:
        return {"table": row.table, "key": row.key, "deleted": True}
    return {
        "table": row.table,
        "key": row.key,
        "value": base64.b64encode(row.value).decode(),
        "schema-version": row.revision,
    }
