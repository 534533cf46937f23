"""The platform's store over HTTP, read as the product's sources."""

import base64
import binascii
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import aiohttp
import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from jujubenotch.forwarding import (
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

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
UPSTREAM_TABLE = "servers"
OK = 200
HISTORY_GONE = 410
CONNECT_TIMEOUT_S = 0.5
KEEPALIVE_S = 15.0


class RowDocument(BaseModel):
    """A row; ``schema_version`` grows with each transaction of the store."""

    key: str
    value: str = ""
    deleted: bool = False
    revision: int = Field(alias="schema-version", default=0)


class RowsDocument(BaseModel):
    """An answer about rows; ``now_ms`` is the store's own steady clock."""

    model_config = ConfigDict(populate_by_name=True)

    rows: list[RowDocument]
    revision: int = Field(alias="schema-version")
    now_ms: float = Field(alias="now-ms")
    has_more: bool = Field(alias="has-more", default=False)


@dataclass(kw_only=True)
class StoreClient:
    """Calls to the store.

    :param session: Its connections.
    :param address: Where it answers; may change while the process runs.
    """

    session: aiohttp.ClientSession
    address: Address

    def move(self, address: Address) -> None:
        """Send the next calls to another address.

        :param address: The store's new address.
        """
        self.address = address


@dataclass(frozen=True, kw_only=True)
class TableSource:
    """A table of the store as a source of typed items.

    :param decode: Turns a row's key and value into the item's value; ``None``
        when it can't be read.
    :param accepts: Tells which keys count.
    """

    client: StoreClient
    table: str
    decode: Callable[[str, bytes], Any]
    accepts: Callable[[str], bool]

    async def read_all(self, note_progress: Callable[[], None]) -> Page:
        """Read all rows.

        :param note_progress: Called for each part of an answer that comes.
        :raises SourceError: No answer came.
        """
        page = await self._call("/v1/rows-get", {}, note_progress)
        items = list(page.rows)
        rest = page
        while rest.has_more and rest.rows:
            # The smallest key above the last one read.
            after = rest.rows[-1].key + "\0"
            rest = await self._call("/v1/rows-get", {"from": after}, note_progress)
            items.extend(rest.rows)
        return self._write_page(page, items)

    async def read_changes(
        self, after_revision: int, wait_s: float, note_progress: Callable[[], None]
    ) -> Page:
        """Wait for changes after a revision.

        :param after_revision: The revision.
        :param wait_s: How long to wait at most, in seconds.
        :param note_progress: Called for each part of an answer that comes.
        :raises HistoryLostError: The changes aren't known any more.
        :raises SourceError: No answer came.
        """
        parameters = {
            "since-rev": str(after_revision),
            "wait-ms": str(int(wait_s * MS_PER_S)),
        }
        page = await self._call("/v1/rows-feed", parameters, note_progress)
        return self._write_page(page, page.rows)

    async def _call(self, path, parameters, note_progress):
        parameters = {"table": self.table, **parameters}
        try:
            async with self.client.session.get(
                f"http://{self.client.address.text}{path}", params=parameters
            ) as answer:
                content = bytearray()
                async for part in answer.content.iter_any():
                    content += part
                    note_progress()
        # The event loop raises RuntimeError for a connection whose descriptor was
        # closed by a cancelled call.
        except (aiohttp.ClientError, OSError, RuntimeError) as error:
            raise SourceError(f"no answer from {path}: {error!r}") from error
        if answer.status == HISTORY_GONE:
            raise HistoryLostError(f"{path} has lost the history of {self.table}")
        if answer.status != OK:
            raise SourceError(f"{path} answered with status {answer.status}")
        try:
            return RowsDocument.model_validate(orjson.loads(content))
        except (ValidationError, ValueError) as error:
            raise SourceError(f"{path} gave no valid answer") from error

    def _write_page(self, document, rows):
        return Page(
            items=tuple(self._write_item(row) for row in rows if self.accepts(row.key)),
            revision=document.revision,
            answered_store_s=document.now_ms / MS_PER_S,
            changed_revision=max((row.revision for row in rows), default=0),
        )

    def _write_item(self, row):
        if row.deleted:
            return Item(key=row.key, value=None, is_removed=True)
        return Item(key=row.key, value=self._decode_value(row))

    def _decode_value(self, row):
        try:
            content = base64.b64decode(row.value, validate=True)
        except binascii.Error:
            return None
        return self.decode(row.key, content)


def open_store(address: Address) -> StoreClient:
    """Make a client; needs a running event loop.

    :param address: Where the store answers.
    :returns: The client; end it by closing its session.
    """
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_S),
        # Each call has its own bound, so none is set on the whole.
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        cookie_jar=aiohttp.DummyCookieJar(),
    )
    return StoreClient(session=session, address=address)


def make_configuration_source(client: StoreClient) -> TableSource:
    """Make the source of the configuration.

    :param client: The store.
    :returns: A source with one item.
    """
    return TableSource(
        client=client,
        table=CONFIGURATION_TABLE,
        decode=lambda key, content: decode_configuration(content),
        accepts=lambda key: key == CONFIGURATION_KEY,
    )


def make_upstream_source(client: StoreClient) -> TableSource:
    """Make the source of the list of upstreams.

    :param client: The store.
    :returns: A source with an item for each upstream.
    """
    return TableSource(
        client=client,
        table=UPSTREAM_TABLE,
        decode=decode_upstream,
        accepts=lambda key: True,
    )
