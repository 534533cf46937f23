"""The requests that a connection to an upstream has carried.

An upstream may send a response again, later, on the same connection. The id of its
request is all that tells it from the response to another request, so such a copy is
skipped. Nothing tells it from the response to the same request, so a request never
comes twice to a connection.
"""

from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from contextvars import ContextVar
from dataclasses import dataclass, field

# Bounds the ids that a connection remembers; it is closed after as many requests.
MAX_CARRIED_REQUESTS = 1000
# An upstream that sends more copies before a response is not waited for.
MAX_COPIES = 8
MAX_COPY_BYTES = 1024 * 1024


@dataclass(frozen=True, kw_only=True)
class RequestName:
    """How a request and the responses to it are told from others.

    :param request_id: The id of the request.
    :param header: The header in which a response repeats the id; empty when responses
        name no request.

    >>> RequestName(request_id="9c41", header="X-Request-Id").request_id
    '9c41'
    """

    request_id: str
    header: str = ""


@dataclass(kw_only=True)
class CarriedRequests:
    """What one connection has carried.

    :param count: The number of requests.
    :param current: The request that it carries or has carried last; ``None`` when that
        one has no name.
    :param sent_s: When each named request was sent, monotonic, in seconds, by the hash
        of its id, as callers choose how long ids are.
    :param header: The header in which its responses name their requests.
    :param copies: The copies that came since the current request was sent.

    >>> CarriedRequests().count
    0
    """

    count: int = 0
    current: RequestName | None = None
    sent_s: dict[int, float] = field(default_factory=dict)
    header: str = ""
    copies: int = 0


# The HTTP library chooses the connection in the task that sends the request, and has no
# other way to tell the choice which request that is.
_name_of_request: ContextVar[RequestName | None] = ContextVar("name", default=None)


@contextmanager
def name_request(name: RequestName | None) -> Iterator[None]:
    """Name the request that is sent in this context.

    :param name: The name; ``None`` when the request has none.
    :returns: A context manager.
    """
    token = _name_of_request.set(name)
    try:
        yield
    finally:
        _name_of_request.reset(token)


def may_carry_request(carried: CarriedRequests) -> bool:
    """Return whether a connection may carry the request that is being sent.

    :param carried: What the connection has carried.
    """
    name = _name_of_request.get()
    return name is None or hash(name.request_id) not in carried.sent_s


def record_request(carried: CarriedRequests, now_s: float) -> None:
    """Record that a connection carries the request that is being sent.

    :param carried: What the connection has carried; changed in place.
    :param now_s: The present monotonic time, in seconds.
    """
    carried.count += 1
    carried.copies = 0
    carried.current = _name_of_request.get()
    if carried.current is not None:
        carried.header = carried.current.header
        carried.sent_s[hash(carried.current.request_id)] = now_s


def find_copied_id(carried: CarriedRequests, headers: Mapping[str, str]) -> str:
    """Find the earlier request of the connection that a response names.

    :param carried: What the connection has carried.
    :param headers: The headers of the response; their names have no case.
    :returns: The id of that request; empty when the response isn't a copy.
    """
    named_id = headers.get(carried.header, "") if carried.header else ""
    current_id = carried.current.request_id if carried.current else ""
    is_earlier = hash(named_id) in carried.sent_s and named_id != current_id
    return named_id if is_earlier else ""


def is_used_up(carried: CarriedRequests) -> bool:
    """Return whether a connection has carried as many requests as it may.

    :param carried: What the connection has carried.
    """
    return carried.count >= MAX_CARRIED_REQUESTS
