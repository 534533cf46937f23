"""One request to one upstream and its answer."""

from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass

import aiohttp

from jujubenotch.upstreams.connections import UpstreamConnections
from jujubenotch.upstreams.errors import (
    AnswerTooLargeError,
    ConnectFailedError,
    ConnectionLostError,
    SilentUpstreamError,
)

NOT_STARTED_HEADER = "X-Not-Started"
SERVICE_UNAVAILABLE = 503


@dataclass(frozen=True, kw_only=True)
class UpstreamRequest:
    """What is sent to an upstream.

    :param url: The whole address.
    :param headers: Names and values, in order.
    :param is_repeatable: Whether it may be sent on a reused connection.
    :param is_stream: Whether the answer is a stream of events.
    """

    method: str
    url: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    is_repeatable: bool
    is_stream: bool = False


@dataclass(frozen=True, kw_only=True)
class UpstreamAnswer:
    """An answer whose head has arrived.

    :param is_not_started: The upstream says that it did not start the request.
    :param response: The open response, for its body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    is_not_started: bool
    response: aiohttp.ClientResponse


@asynccontextmanager
async def open_exchange(
    connections: UpstreamConnections, request: UpstreamRequest
) -> AsyncIterator[UpstreamAnswer]:
    """Send a request and wait for the head of its answer.

    Leaving the context closes the connection of an answer not read to its end,
    which cancels the work on the upstream.

    :param connections: The connections to use.
    :param request: The request.
    :returns: A context with the answer.
    :raises ConnectFailedError: Nothing was sent.
    :raises SilentUpstreamError: No byte came within the idle timeout.
    :raises ConnectionLostError: The connection ended early.
    """
    session = connections.single_use
    if request.is_repeatable:
        session = connections.reusable
    options = {"timeout": connections.stream_timeout} if request.is_stream else {}
    with translated_errors():
        response = await session.request(
            request.method,
            request.url,
            headers=request.headers,
            data=request.body or None,
            allow_redirects=False,
            **options,
        )
    try:
        yield UpstreamAnswer(
            status=response.status,
            headers=tuple(response.headers.items()),
            is_not_started=_is_not_started(response),
            response=response,
        )
    finally:
        # A response read to its end has given its connection back already.
        response.close()


async def read_whole(answer: UpstreamAnswer, max_size_bytes: int) -> bytes:
    """Read the whole body of an answer.

    :param answer: The answer.
    :param max_size_bytes: The bound on the body.
    :returns: The body.
    :raises AnswerTooLargeError: The body is larger than the bound.
    :raises SilentUpstreamError: No byte came within the idle timeout.
    :raises ConnectionLostError: The body is shorter than was announced.
    """
    parts = []
    size_bytes = 0
    with translated_errors():
        async for part in answer.response.content.iter_any():
            size_bytes += len(part)
            if size_bytes > max_size_bytes:
                raise AnswerTooLargeError(
                    f"the answer has more than {max_size_bytes} bytes"
                )
            parts.append(part)
    return b"".join(parts)


@contextmanager
def translated_errors() -> Iterator[None]:
    """Turn the HTTP library's errors into those of this layer.

    :returns: A context.
    :raises ConnectFailedError: Nothing was sent.
    :raises SilentUpstreamError: No byte came within the idle timeout.
    :raises ConnectionLostError: The connection ended early.
    """
    try:
        yield
    except (aiohttp.ClientConnectorError, aiohttp.InvalidURL) as error:
        raise ConnectFailedError(str(error)) from error
    except aiohttp.ConnectionTimeoutError as error:
        raise ConnectFailedError(str(error)) from error
    except aiohttp.ServerTimeoutError as error:
        raise SilentUpstreamError(str(error)) from error
    except (aiohttp.ClientError, ConnectionError) as error:
        raise ConnectionLostError(str(error)) from error


def _is_not_started(response):
    if response.status != SERVICE_UNAVAILABLE:
        return False
    return response.headers.get(NOT_STARTED_HEADER, "").lower() == "true"
