"""Sends one request to one upstream and reads the response."""

from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import AbstractContextManager, asynccontextmanager, contextmanager
from dataclasses import dataclass

import aiohttp
from yarl import URL

from jujubenotch.memory import MemoryUse
from jujubenotch.upstreams.carried import RequestName, name_request
from jujubenotch.upstreams.connections import UpstreamConnections
from jujubenotch.upstreams.errors import (
    AnswerTooLargeError,
    ConnectFailedError,
    ConnectionLostError,
    SilentUpstreamError,
)
from jujubenotch.upstreams.held_bytes import hold_answer, record_held
from jujubenotch.upstreams.response import UpstreamResponse

# aiohttp would add these headers to a request that lacks them.
AUTOMATIC_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")


@dataclass(frozen=True, kw_only=True)
class UpstreamRequest:
    """A request to an upstream.

    :param url: The absolute URL.
    :param headers: Names and values, in order.
    :param is_repeatable: Whether the request may be sent on a reused connection.
    :param is_stream: Whether the expected response is a stream of events.
    :param name: How the request is told from others; ``None`` when it has no id.
    """

    method: str
    url: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    is_repeatable: bool
    is_stream: bool = False
    name: RequestName | None = None


@dataclass(frozen=True, kw_only=True)
class UpstreamAnswer:
    """A response whose status and headers have been received.

    :param response: The HTTP library's open response, for reading the body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    response: UpstreamResponse

    def find_header(self, name: str) -> str:
        """Return the value of a header, or an empty string when it is absent.

        :param name: The header's name; its case is ignored.
        """
        return self.response.headers.get(name, "")

    def close_connection(self) -> None:
        """Close the connection, also if the response was read to its end.

        The upstream may still work on the request, and another one must not follow.
        """
        self.response.abort_connection()


@asynccontextmanager
async def open_exchange(
    connections: UpstreamConnections, request: UpstreamRequest
) -> AsyncIterator[UpstreamAnswer]:
    """Send a request and wait for the status and headers of its response.

    Leaving the context closes the connection of a response that was not read to
    its end, which tells the upstream to cancel its work.

    :param connections: The connections to use.
    :param request: The request.
    :returns: A context manager that yields the response.
    :raises ConnectFailedError: No connection was established; nothing was sent.
    :raises SilentUpstreamError: No data arrived within the timeout.
    :raises ConnectionLostError: The connection ended before the response did.
    """
    session = connections.single_use
    if request.is_repeatable:
        session = connections.reusable
    options = _choose_timeout(connections, request)
    with translate_errors(), name_request(request.name):
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
        # The connection of a response that was read to its end has already been
        # returned to the pool.
        response.close()


async def read_body(
    connections: UpstreamConnections,
    answer: UpstreamAnswer,
    note_part: Callable[[], None] = lambda: None,
) -> bytes:
    """Read the complete body of a response.

    :param connections: The connections, with the limits on a body and on all.
    :param answer: The response.
    :param note_part: Called when a part of the body has arrived.
    :returns: The body.
    :raises AnswerTooLargeError: The body is too large, or takes most of the memory that
        all responses have together.
    :raises SilentUpstreamError: No data arrived within the timeout.
    :raises ConnectionLostError: The body is incomplete.
    """
    with translate_errors(), hold_response(connections, answer) as held:

        def note(size_bytes):
            note_part()
            record_held(connections.memory, held, size_bytes)

        body = await read_bounded(
            answer.response, connections.limits.max_answer_bytes, note
        )
    check_not_truncated(answer)
    return body


async def read_bounded(
    response: aiohttp.ClientResponse,
    max_bytes: int,
    note_size: Callable[[int], None] = lambda size_bytes: None,
) -> bytes:
    """Read a body up to a bound.

    :param response: The open response.
    :param max_bytes: The largest size of the body.
    :param note_size: Called with the bytes received so far, after each part.
    :returns: The body.
    :raises AnswerTooLargeError: The body is larger.
    """
    parts = []
    size_bytes = 0
    async for part in response.content.iter_any():
        size_bytes += len(part)
        if size_bytes > max_bytes:
            raise AnswerTooLargeError(
                f"body too large: {size_bytes} bytes received, at most {max_bytes} "
                "allowed; the response is discarded"
            )
        parts.append(part)
        note_size(size_bytes)
    return b"".join(parts)


def hold_response(
    connections: UpstreamConnections, answer: UpstreamAnswer
) -> AbstractContextManager[MemoryUse]:
    """Keep account of what a response holds in memory while it is received.

    :param connections: The connections, with the account of all responses.
    :param answer: The response.
    :returns: A context manager that yields the response's own account.
    """
    response = answer.response

    def cut(error):
        response.content.set_exception(error)
        response.close()

    has_length = "Content-Length" in response.headers
    return hold_answer(connections.memory, has_length=has_length, cut=cut)


def check_not_truncated(answer: UpstreamAnswer) -> None:
    """Check that a body that was read to its end was not truncated.

    :param answer: The response.
    :raises ConnectionLostError: The body has no length, and its connection was
        reset, or ended before the request was sent completely.
    """
    if not answer.response.is_framed and answer.response.was_cut:
        raise ConnectionLostError(
            "connection reset, or ended amid the request, while reading a response "
            "body without a length; the body may be truncated"
        )


@contextmanager
def translate_errors() -> Iterator[None]:
    """Translate the HTTP library's errors into the errors of this layer.

    :returns: A context manager.
    :raises ConnectFailedError: No connection was established; nothing was sent.
    :raises SilentUpstreamError: No data arrived within the timeout.
    :raises ConnectionLostError: The connection ended before the response did.
    :raises AnswerTooLargeError: The response takes too much memory.
    """
    try:
        yield
    except AnswerTooLargeError as error:
        raise AnswerTooLargeError(str(error)) from _drop_frames(error)
    except (aiohttp.ClientConnectorError, aiohttp.InvalidURL) as error:
        raise ConnectFailedError(str(error)) from _drop_frames(error)
    except aiohttp.ConnectionTimeoutError as error:
        raise ConnectFailedError(str(error)) from _drop_frames(error)
    except aiohttp.ServerTimeoutError as error:
        raise SilentUpstreamError(str(error)) from _drop_frames(error)
    # The event loop raises RuntimeError for a connection whose file descriptor
    # was closed by a cancelled call. Nothing proves that the request was not sent.
    except (aiohttp.ClientError, ConnectionError, RuntimeError) as error:
        raise ConnectionLostError(str(error)) from _drop_frames(error)


def _drop_frames(error):
    """Drop an error's traceback, which refers to all that was received.

    The HTTP library keeps the error with the response, so that only a garbage
    collection would free both.
    """
    return error.with_traceback(None)


def _choose_timeout(connections, request):
    return {"timeout": connections.stream_timeout} if request.is_stream else {}
