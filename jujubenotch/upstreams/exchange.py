"""One request to one upstream and its answer."""

from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass

import aiohttp
from yarl import URL

from jujubenotch.upstreams.connections import UpstreamConnections, make_timeout
from jujubenotch.upstreams.errors import (
    AnswerTooLargeError,
    ConnectFailedError,
    ConnectionLostError,
    SilentUpstreamError,
)
from jujubenotch.upstreams.response import UpstreamResponse

# The library would add these where the caller sent none.
AUTOMATIC_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")


@dataclass(frozen=True, kw_only=True)
class UpstreamRequest:
    """What is sent to an upstream.

    :param url: The whole address.
    :param headers: Names and values, in order.
    :param is_repeatable: Whether it may be sent on a reused connection.
    :param is_stream: Whether the answer is a stream of events.
    :param silence_timeout_s: How long it may be silent; ``None`` takes the
        bound of the connections.
    """

    method: str
    url: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    is_repeatable: bool
    is_stream: bool = False
    silence_timeout_s: float | None = None


@dataclass(frozen=True, kw_only=True)
class UpstreamAnswer:
    """An answer whose head has arrived.

    :param response: The open response, for its body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    response: UpstreamResponse

    def find_header(self, name: str) -> str:
        """Return the value of a header; empty without one.

        :param name: The header's name, in any case.
        """
        return self.response.headers.get(name, "")


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
    options = _choose_timeout(connections, request)
    with translated_errors():
        response = await session.request(
            request.method,
            URL(request.url, encoded=True),
            headers=request.headers,
            data=request.body or None,
            skip_auto_headers=AUTOMATIC_HEADERS,
            allow_redirects=False,
            **options,
        )
    try:
        yield UpstreamAnswer(
            status=response.status,
            headers=tuple(response.headers.items()),
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
    check_ending(answer)
    return b"".join(parts)


def check_ending(answer: UpstreamAnswer) -> None:
    """Check that a body whose last byte was read has not been cut short.

    :param answer: The answer.
    :raises ConnectionLostError: Its connection was reset.
    """
    if not answer.response.has_length and answer.response.was_reset:
        raise ConnectionLostError("the connection of a body without length was reset")


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
    # The event loop raises RuntimeError for a connection whose descriptor was
    # closed by a cancelled call; nothing proves that it had not sent anything.
    except (aiohttp.ClientError, ConnectionError, RuntimeError) as error:
        raise ConnectionLostError(str(error)) from error


def _choose_timeout(connections, request):
    if request.silence_timeout_s is not None:
        bound = make_timeout(connections.limits, request.silence_timeout_s)
        return {"timeout": bound}
    return {"timeout": connections.stream_timeout} if request.is_stream else {}
