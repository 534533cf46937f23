"""Reads the tables of the platform's store over HTTP, as sources of typed items."""

import base64
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated, Any

import aiohttp
import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from jujubenotch.forwarding import (
    EraChangedError,
    HistoryLostError,
    Item,
    Page,
    SourceError,
)
from jujubenotch.platform.documents import (
    decode_configuration,
    decode_upstream,
)
from jujubenotch.platform.units import MS_PER_S
from jujubenotch.settings.forwarder import Address
from jujubenotch.upstreams import AnswerTooLargeError, CleanConnector, read_bounded

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
UPSTREAM_TABLE = "servers"
# The store sends 1 MB of rows at most, and objects of 8 MiB.
MAX_PAGE_BYTES = 16 * 1024 * 1024
MAX_OBJECT_BYTES = 16 * 1024 * 1024
OK = 200
HISTORY_GONE = 410
ERA_HEADER = "Store-Era"
CONNECT_TIMEOUT_S = 0.5
# An idle connection may have gone silent without an error, and a call on it would fail
# only after its timeout. Calls that follow each other still share a connection.
KEEPALIVE_S = 1.0
CALL_TIMEOUT_S = 2.0
# Fencing tokens contain the era in their upper bits, and have 64 bits.
MAX_ERA = 2**28
# Larger numbers can't be sent to neighbours, nor be told apart as floating-point ones.
MAX_NUMBER = 2**53

Number = Annotated[int, Field(ge=0, le=MAX_NUMBER)]


class RowDocument(BaseModel):
    """A row of a table.

    ``revision`` is the field ``schema-version`` of the row, which grows with each
    transaction of the store.
    """

    key: str
    value: str = ""
    deleted: bool = False
    revision: Number = Field(alias="schema-version", default=0)


class RowsDocument(BaseModel):
    """A response that lists rows.

    ``now_ms`` is the time on the store's own monotonic clock, in milliseconds.
    ``era`` is not part of the response's body but of its head.
    """

    model_config = ConfigDict(populate_by_name=True)

    rows: list[RowDocument]
    revision: Number = Field(alias="schema-version")
    now_ms: Annotated[float, Field(ge=0, le=MAX_NUMBER)] = Field(alias="now-ms")
    has_more: bool = Field(alias="has-more", default=False)
    era: Number = 0


@dataclass(kw_only=True)
class StoreClient:
    """A client of the store.

    :param session: The connections to the store.
    :param address: The store's address; may change while the process runs.
    """

    session: aiohttp.ClientSession
    address: Address

    def move(self, address: Address) -> None:
        """Send all further calls to another address.

        :param address: The store's new address.
        """
        self.address = address


@dataclass(frozen=True, kw_only=True)
class TableSource:
    """A table of the store as a source of typed items.

    :param client: The client of the store.
    :param table: The name of the table.
    :param decode: Converts a row's key and value to the item's value; returns
        ``None`` when the row's value is invalid.
    :param accepts: Tells whether a row with the given key belongs to the source.
    """

    client: StoreClient
    table: str
    decode: Callable[[str, bytes], Any]
    accepts: Callable[[str], bool]

    async def read_all(self, note_progress: Callable[[], None]) -> Page:
        """Read all rows of the table.

        :param note_progress: Called for each part of a response that arrives.
        :returns: The items of all rows.
        :raises SourceError: The store did not return a valid response.
        """
        page = await self._call("/v1/rows-get", {}, note_progress)
        items = list(page.rows)
        rest = page
        while rest.has_more and rest.rows:
            # This is the smallest key that sorts after the last one read.
            after = rest.rows[-1].key + "\0"
            rest = await self._call("/v1/rows-get", {"from": after}, note_progress)
            if rest.rows and rest.rows[0].key < after:
                raise SourceError(
                    f"/v1/rows-get: the rest of table {self.table} begins at "
                    f"{rest.rows[0].key!r}, before the key that it was asked from"
                )
            if rest.era != page.era:
                raise EraChangedError(
                    f"/v1/rows-get: the store changed from era {page.era} to "
                    f"{rest.era} between two parts of table {self.table}"
                )
            items.extend(rest.rows)
        return self._make_page(page, items)

    async def read_changes(
        self, after_revision: int, wait_s: float, note_progress: Callable[[], None]
    ) -> Page:
        """Wait for changes after a revision.

        :param after_revision: The revision.
        :param wait_s: The longest time to wait, in seconds.
        :param note_progress: Called for each part of a response that arrives.
        :returns: The items that have changed.
        :raises HistoryLostError: The store no longer has these changes.
        :raises SourceError: The store did not return a valid response.
        """
        parameters = {
            "since-rev": str(after_revision),
            "wait-ms": str(int(wait_s * MS_PER_S)),
        }
        page = await self._call("/v1/rows-feed", parameters, note_progress)
        return self._make_page(page, page.rows, has_more=page.has_more)

    async def _call(self, path, parameters, note_progress):
        parameters = {"table": self.table, **parameters}
        try:
            async with self.client.session.get(
                f"http://{self.client.address.text}{path}", params=parameters
            ) as answer:
                content = await read_bounded(
                    answer, MAX_PAGE_BYTES, lambda size_bytes: note_progress()
                )
        # The event loop raises RuntimeError for a connection whose file descriptor
        # was closed by a cancelled call.
        except (
            aiohttp.ClientError,
            OSError,
            RuntimeError,
            AnswerTooLargeError,
        ) as error:
            raise SourceError(f"the store did not answer {path}: {error!r}") from error
        if answer.status == HISTORY_GONE:
            raise HistoryLostError(
                f"{path}: the store no longer has the requested changes of table "
                f"{self.table}; all rows must be read again"
            )
        if answer.status != OK:
            raise SourceError(
                f"{path}: the store answered with status {answer.status} "
                f"instead of {OK}"
            )
        try:
            document = RowsDocument.model_validate(orjson.loads(content))
            document.era = _read_era(answer)
        except (ValidationError, ValueError) as error:
            raise SourceError(
                f"{path}: the store returned an invalid response for table {self.table}"
            ) from error
        return document

    def _make_page(self, document, rows, has_more=False):
        return Page(
            items=tuple(self._make_item(row) for row in rows if self.accepts(row.key)),
            revision=document.revision,
            store_time_s=document.now_ms / MS_PER_S,
            changed_revision=max((row.revision for row in rows), default=0),
            era=document.era,
            has_more=has_more,
        )

    def _make_item(self, row):
        if row.deleted:
            return Item(key=row.key, value=None, is_removed=True)
        try:
            content = base64.b64decode(row.value, validate=True)
        except ValueError:
            return Item(key=row.key, value=None, revision=row.revision)
        return self.make_item(row.key, content, row.revision)

    def make_item(self, key: str, content: bytes, revision: int) -> Item:
        """Decode a row's value.

        :param key: The row's key.
        :param content: The row's value.
        :param revision: The revision at which the row was written.
        :returns: The item; its value is ``None`` when the row's value is invalid.
        """
        value = self.decode(key, content)
        return Item(key=key, value=value, revision=revision, content=content)


def open_store(address: Address) -> StoreClient:
    """Create a client; requires a running event loop.

    :param address: The store's address.
    :returns: The client; close its session when it is no longer needed.
    """
    session = aiohttp.ClientSession(
        connector=CleanConnector(limit=0, keepalive_timeout=KEEPALIVE_S),
        # The code that reads a source limits the duration of each call, so no total
        # timeout is set here.
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        cookie_jar=aiohttp.DummyCookieJar(),
    )
    return StoreClient(session=session, address=address)


def make_configuration_source(client: StoreClient) -> TableSource:
    """Create the source of the configuration.

    :param client: The client of the store.
    :returns: A source with one item.
    """
    return TableSource(
        client=client,
        table=CONFIGURATION_TABLE,
        decode=lambda key, content: decode_configuration(content),
        accepts=lambda key: key == CONFIGURATION_KEY,
    )


def make_upstream_source(client: StoreClient) -> TableSource:
    """Create the source of the list of upstreams.

    :param client: The client of the store.
    :returns: A source with one item for each upstream.
    """
    return TableSource(
        client=client,
        table=UPSTREAM_TABLE,
        decode=decode_upstream,
        accepts=lambda key: True,
    )


async def exchange(
    client: StoreClient, method: str, path: str, **arguments
) -> tuple[int, int, bytes]:
    """Make one call to the store, whatever the status of the response.

    :param client: The client.
    :param method: The HTTP method.
    :param path: The path of the call.
    :param arguments: Further arguments of the request.
    :returns: The status, the era of the store, and the body of the response.
    :raises SourceError: The store did not answer in time.
    """
    url = f"http://{client.address.text}{path}"
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    try:
        async with client.session.request(
            method, url, timeout=timeout, **arguments
        ) as answer:
            content = await read_bounded(answer, MAX_OBJECT_BYTES)
        return answer.status, _read_era(answer), content
    except (
        aiohttp.ClientError,
        OSError,
        RuntimeError,
        TimeoutError,
        ValueError,
        AnswerTooLargeError,
    ) as error:
        raise SourceError(f"the store did not answer {path}: {error!r}") from error


def _read_era(answer):
    era = int(answer.headers.get(ERA_HEADER, 0))
    if not 0 <= era <= MAX_ERA:
        raise ValueError(f"the store answered with era {era}")
    return era


async def call_store(client: StoreClient, method: str, path: str, **arguments) -> bytes:
    """Make one call to the store that does not wait for changes.

    :param client: The client.
    :param method: The HTTP method.
    :param path: The path of the call.
    :param arguments: Further arguments of the request.
    :returns: The body of the response.
    :raises SourceError: The store did not answer in time, or not with success.
    """
    status, _, content = await exchange(client, method, path, **arguments)
    if not 200 <= status < 300:
        raise SourceError(f"{path}: the store answered with status {status}")
    return content
