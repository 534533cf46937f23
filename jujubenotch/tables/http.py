"""HTTP client of the platform services."""

import asyncio
import base64
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import aiohttp
import orjson
from pydantic import BaseModel, TypeAdapter, ValidationError

from jujubenotch.tables.errors import (
    ConflictError,
    PlatformError,
    PlatformUnavailableError,
    ReplyLostError,
)
from jujubenotch.tables.interface import InstanceListEntry, Row, Write

NOT_APPLIED_HEADER = "X-Not-Applied"
CONNECT_TIMEOUT_SHARE = 0.5
KEEPALIVE_TIMEOUT_S = 5.0
NOT_SENT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
POSSIBLY_SENT_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


class RowDocument(BaseModel):
    """A row in a reply of the table service; the value is base64-encoded."""

    key: str
    value: str
    version: int


class ConflictDocument(BaseModel):
    """The conflicting row in the reply to a rejected transaction."""

    table: str
    key: str


@dataclass(eq=False, kw_only=True)
class ConnectionPool:
    """A pool of reusable connections, which are closed together.

    :param session: The HTTP session that owns the connections.
    :param calls_in_progress: The number of calls that currently use the pool.
    :param is_retired: Whether new calls must use another pool; a retired pool
        is closed after its last call.
    """

    session: aiohttp.ClientSession
    calls_in_progress: int = 0
    is_retired: bool = False


@dataclass(kw_only=True)
class HttpPlatformClient:
    """Client of the platform services at one base URL.

    If a call times out, its connection pool is retired: the idle connections of
    the pool may be dead as well, while a new connection may work.

    :param url: Base URL, ``http://host:port``, without a trailing slash.
    :param timeout_s: Timeout of each call, in seconds; connecting may take half
        of it.

    >>> HttpPlatformClient(url="http://127.0.0.1:9000", timeout_s=2.0).timeout_s
    2.0
    """

    url: str
    timeout_s: float
    _pool: ConnectionPool | None = field(default=None, repr=False)

    async def transact(self, writes: Sequence[Write]) -> None:
        """Apply all writes atomically, or none of them.

        :param writes: The writes.
        :raises ConflictError: A row does not have the expected version.
        :raises PlatformUnavailableError: The writes were not applied.
        :raises ReplyLostError: The writes may have been applied.
        """
        body = orjson.dumps({"writes": [_encode_write(write) for write in writes]})
        status, content = await self._call(
            "POST", "/transactions", data=body, error_after_send=ReplyLostError
        )
        if status == 409:
            conflict = _decode(TypeAdapter(ConflictDocument), content, ReplyLostError)
            raise ConflictError(table=conflict.table, key=conflict.key)
        _check_status(status, 200, error_after_send=ReplyLostError)

    async def read(self, table: str, key: str) -> Row | None:
        """Read one row.

        :param table: The name of the table.
        :param key: The key of the row.
        :returns: The row; ``None`` if it does not exist.
        :raises PlatformUnavailableError: No usable reply was received.
        """
        status, content = await self._call(
            "GET", "/row", params={"table": table, "key": key}
        )
        if status == 404:
            return None
        _check_status(status, 200)
        return _decode_row(table, _decode(TypeAdapter(RowDocument), content))

    async def scan(self, table: str, after_key: str = "") -> list[Row]:
        """Read the rows with keys greater than ``after_key``, in key order.

        :param table: The name of the table.
        :param after_key: Only rows with greater keys are returned.
        :raises PlatformUnavailableError: No usable reply was received.
        """
        status, content = await self._call(
            "GET", "/rows", params={"table": table, "after_key": after_key}
        )
        _check_status(status, 200)
        documents = _decode(TypeAdapter(list[RowDocument]), content)
        return [_decode_row(table, document) for document in documents]

    async def put_object(self, name: str, content: bytes) -> None:
        """Store an object, replacing any object of the same name.

        :param name: The name of the object.
        :param content: The content of the object.
        :raises PlatformUnavailableError: The object was not stored.
        :raises ReplyLostError: The object may have been stored.
        """
        status, _ = await self._call(
            "PUT",
            "/object",
            params={"name": name},
            data=content,
            error_after_send=ReplyLostError,
        )
        _check_status(status, 200, error_after_send=ReplyLostError)

    async def get_object(self, name: str) -> bytes | None:
        """Read an object.

        :param name: The name of the object.
        :returns: The content; ``None`` if the object does not exist.
        :raises PlatformUnavailableError: No usable reply was received.
        """
        status, content = await self._call("GET", "/object", params={"name": name})
        if status == 404:
            return None
        _check_status(status, 200)
        return content

    async def list_instances(self) -> list[InstanceListEntry]:
        """Read the list of instances and upstreams, which may be out of date.

        :raises PlatformUnavailableError: No usable reply was received.
        """
        status, content = await self._call("GET", "/instances")
        _check_status(status, 200)
        return _decode(TypeAdapter(list[InstanceListEntry]), content)

    async def close(self) -> None:
        """Close the connections to the platform."""
        if self._pool is not None:
            await self._pool.session.close()
            self._pool = None

    async def _call(
        self,
        method,
        path,
        *,
        params=None,
        data=None,
        error_after_send=PlatformUnavailableError,
    ):
        # ``error_after_send`` is the exception type for failures after which the
        # request may have reached the platform.
        try:
            async with self._acquire_session() as session:
                async with session.request(
                    method, self.url + path, params=params, data=data
                ) as response:
                    content = await response.read()
        except NOT_SENT_ERRORS as error:
            raise PlatformUnavailableError(f"can't connect to {self.url}") from error
        except POSSIBLY_SENT_ERRORS as error:
            raise error_after_send(
                f"no reply from {self.url}{path}: {error!r}"
            ) from error
        if response.status == 503 and NOT_APPLIED_HEADER in response.headers:
            raise PlatformUnavailableError(f"{self.url}{path} is out of service")
        return response.status, content

    @asynccontextmanager
    async def _acquire_session(self) -> AsyncIterator[aiohttp.ClientSession]:
        if self._pool is None or self._pool.is_retired:
            self._pool = self._create_pool()
        pool = self._pool
        pool.calls_in_progress += 1
        try:
            yield pool.session
        except TimeoutError:
            pool.is_retired = True
            raise
        finally:
            pool.calls_in_progress -= 1
            if pool.is_retired and pool.calls_in_progress == 0:
                await asyncio.shield(pool.session.close())

    def _create_pool(self):
        timeout = aiohttp.ClientTimeout(
            total=self.timeout_s, connect=self.timeout_s * CONNECT_TIMEOUT_SHARE
        )
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_TIMEOUT_S)
        session = aiohttp.ClientSession(
            connector=connector,
            timeout=timeout,
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        return ConnectionPool(session=session)


def _check_status(
    status: int,
    expected: int,
    *,
    error_after_send: type[PlatformError] = PlatformUnavailableError,
) -> None:
    if status != expected:
        raise error_after_send(f"the platform answered with status {status}")


def _encode_write(write):
    value = None
    if write.value is not None:
        value = base64.b64encode(write.value).decode()
    return {
        "table": write.table,
        "key": write.key,
        "value": value,
        "expected_version": write.expected_version,
    }


def _decode(adapter, content, error_after_send=PlatformUnavailableError):
    try:
        return adapter.validate_json(content)
    except ValidationError as error:
        raise error_after_send(
            "the platform's answer is not of the expected form"
        ) from error


def _decode_row(table, document):
    return Row(
        table=table,
        key=document.key,
        value=base64.b64decode(document.value),
        version=document.version,
    )
