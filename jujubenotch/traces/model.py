"""A bounded buffer of recent requests and their events."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field

MAX_REQUESTS = 4096
MAX_EVENTS = 64
MAX_ID_CHARACTERS = 256
MAX_VALUE_CHARACTERS = 128

TRACE_FIELDS = frozenset(
    {
        "age_s",
        "application",
        "attempt",
        "claim",
        "data_centre",
        "deadline_s",
        "expected_tokens",
        "from_event",
        "grant_id",
        "home",
        "idempotent",
        "instance",
        "outcome",
        "position",
        "reason",
        "retry_after_s",
        "service_class",
        "status",
        "stream",
        "target",
        "team",
        "tier",
        "tokens",
        "upstream",
        "wait_s",
    }
)


@dataclass(frozen=True, kw_only=True)
class TraceEvent:
    """One event of a request.

    :param after_s: The time since the request's first event, in seconds. A
        relative time can be compared between instances.
    :param event: The event's name, in lower case with hyphens.
    :param fields: The event's fields, with names from :data:`TRACE_FIELDS`.
    """

    after_s: float
    event: str
    fields: dict[str, str | int | float | bool | None] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class Trace:
    """The events of one request, oldest first.

    :param dropped_events: The number of older events that were discarded.
    """

    request_id: str
    events: tuple[TraceEvent, ...]
    dropped_events: int = 0


@dataclass(kw_only=True)
class TraceBuffer:
    """The events of one request that are kept in memory.

    :param started_s: The monotonic time of the first event, in seconds.
    :param events: The latest events, oldest first.
    :param recorded_events: The number of events recorded, including those that
        were discarded.
    """

    started_s: float
    events: deque[TraceEvent]
    recorded_events: int = 0


@dataclass(kw_only=True)
class Traces:
    """The traces of recent requests.

    When the buffer is full, the oldest request is discarded; when a request has
    too many events, its oldest event is discarded.

    :param max_requests: The maximum number of requests kept.
    :param max_events: The maximum number of events kept for each request.
    :param buffers: The events of each request, by request id, oldest first.

    >>> Traces(max_requests=2, max_events=8).buffers
    OrderedDict()
    """

    max_requests: int
    max_events: int
    buffers: OrderedDict[str, TraceBuffer] = field(default_factory=OrderedDict)


def make_traces(
    *, max_requests: int = MAX_REQUESTS, max_events: int = MAX_EVENTS
) -> Traces:
    """Create an empty buffer of traces.

    :param max_requests: The maximum number of requests kept.
    :param max_events: The maximum number of events kept for each request.
    :returns: The buffer.
    """
    return Traces(max_requests=max_requests, max_events=max_events)


def limit_id(request_id: str) -> str:
    """Return the part of a request's id that is kept, as callers choose its length.

    :param request_id: The id.
    """
    return request_id[:MAX_ID_CHARACTERS]
