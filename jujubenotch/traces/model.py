"""A bounded ring of recent requests and their events."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field

MAX_REQUESTS = 4096
MAX_EVENTS = 64
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
    """One event in the life of a request.

    :param after_s: From the request's first event, in seconds, so that it
        compares between instances.
    :param event: The event's name, in lower case with hyphens.
    :param fields: Its fields, out of :data:`TRACE_FIELDS`.
    """

    after_s: float
    event: str
    fields: dict[str, str | int | float | bool | None] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class Trace:
    """The events of one request, oldest first.

    :param dropped_events: Older events that the bound pushed out.
    """

    request_id: str
    events: tuple[TraceEvent, ...]
    dropped_events: int = 0


@dataclass(kw_only=True)
class TraceBuffer:
    """The events of one request while they are gathered.

    :param started_s: When its first event was, in seconds.
    """

    started_s: float
    events: deque[TraceEvent]
    recorded_events: int = 0


@dataclass(kw_only=True)
class Traces:
    """The ring: the oldest request goes first, within it the oldest event.

    :param max_requests: Requests kept.
    :param max_events: Events kept of each.

    >>> Traces(max_requests=2, max_events=8).buffers
    OrderedDict()
    """

    max_requests: int
    max_events: int
    buffers: OrderedDict[str, TraceBuffer] = field(default_factory=OrderedDict)


def make_traces(
    *, max_requests: int = MAX_REQUESTS, max_events: int = MAX_EVENTS
) -> Traces:
    """Make an empty ring.

    :param max_requests: Requests kept.
    :param max_events: Events kept of each.
    :returns: The ring.
    """
    return Traces(max_requests=max_requests, max_events=max_events)
