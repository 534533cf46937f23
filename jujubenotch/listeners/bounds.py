"""Connection limits that Sanic does not provide.

Sanic's own timeouts restart with each received byte and do not cover a body, so
a caller that sends single bytes at intervals could hold a connection open forever.
"""

import re
import sys
from collections.abc import Callable
from dataclasses import dataclass

from sanic.exceptions import BadRequest, ServiceUnavailable

from jujubenotch.memory import MemoryAccount

REQUEST_TIMEOUT = 408
TOO_LARGE_HEADERS = 431
# Each takes some hundred bytes beside its own, however short it is.
MAX_HEADERS = 500
OVERLOAD_RETRY_AFTER_S = 0.3
DEFAULT_BACKLOG = 1024
HEADER_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*")
CONTENT_LENGTH = re.compile(rb"content-length:[\t ]*([^\r]*?)[\t ]*", re.IGNORECASE)
DIGITS = re.compile(rb"[0-9]{1,18}")


class SlowRequestError(BadRequest):
    """A request's head or body did not arrive within its time limit."""

    status_code = REQUEST_TIMEOUT
    quiet = True


class TooManyHeadersError(BadRequest):
    """A request has more headers than any sound caller sends."""

    status_code = TOO_LARGE_HEADERS
    quiet = True


class OverloadedError(ServiceUnavailable):
    """A request that has not arrived completely takes memory that others need."""

    quiet = True

    def __init__(self):
        super().__init__(
            "requests in progress take too much memory; come back",
            headers={"Retry-After": str(OVERLOAD_RETRY_AFTER_S)},
        )


@dataclass(kw_only=True)
class ListenerLimits:
    """Limits on the connections of one listener; the time limits may change.

    :param max_connections: The largest number of open connections. A further one takes
        the place of the one that has been idle for longest, or is closed immediately
        when none is idle.
    :param header_timeout_s: Time limit from a request's first byte to the end of
        its head; ``None`` without a limit.
    :param body_timeout_s: Time limit from the end of the head to the end of the
        body; ``None`` without a limit.
    :param count_refused_connection: Counts a connection that is closed because of
        ``max_connections``.
    :param backlog: The largest number of connections that wait to be accepted.
    :param memory: The account of what requests and responses in progress hold; ``None``
        without a limit.

    >>> limits = ListenerLimits(
    ...     max_connections=100,
    ...     header_timeout_s=10,
    ...     body_timeout_s=30,
    ...     count_refused_connection=lambda: None,
    ... )
    >>> limits.max_connections
    100
    """

    max_connections: int
    header_timeout_s: float | None
    body_timeout_s: float | None
    count_refused_connection: Callable[[], None]
    memory: MemoryAccount | None = None
    backlog: int = DEFAULT_BACKLOG


NO_LIMITS = ListenerLimits(
    max_connections=sys.maxsize,
    header_timeout_s=None,
    body_timeout_s=None,
    count_refused_connection=lambda: None,
)


def is_well_formed(head: bytes) -> bool:
    """Check that all HTTP parsers interpret a request's head in the same way.

    A space between a header's name and its colon, a folded header line, a bare
    line feed, or a Content-Length with anything but ASCII digits is interpreted
    differently by different parsers. A caller could use the difference to have
    part of a body treated as a separate request (request smuggling).

    :param head: The request line and the header lines, without the empty line.
    :returns: True if the head has only one interpretation.
    """
    _, *lines = head.split(b"\r\n")
    if b"\n" in head.replace(b"\r\n", b""):
        return False
    for line in lines:
        if not HEADER_LINE.fullmatch(line):
            return False
        length = CONTENT_LENGTH.fullmatch(line)
        if length and not DIGITS.fullmatch(length[1]):
            return False
    return True


def build_timeout_error(part: str, timeout_s: float) -> SlowRequestError:
    """Build the error of a part of a request that is late.

    :param part: The part, ``head`` or ``body``.
    :param timeout_s: Its time limit, in seconds.
    """
    return SlowRequestError(
        f"the request's {part} did not arrive in {timeout_s:g} s; send it faster"
    )
