"""Records events in constant time each."""

from collections import deque

from jujubenotch.traces.model import (
    MAX_VALUE_CHARACTERS,
    TRACE_FIELDS,
    TraceBuffer,
    TraceEvent,
    Traces,
    limit_id,
)

WITHHELD = "(withheld)"


def record_event(
    traces: Traces, request_id: str, event: str, now_s: float, **fields
) -> None:
    """Record one event of a request.

    The value of a field that is not in :data:`TRACE_FIELDS` is replaced, so
    that no caller's text or key is recorded.

    :param traces: The buffer of traces.
    :param request_id: The request's id.
    :param event: The event's name, in lower case with hyphens.
    :param now_s: The present monotonic time, in seconds.
    :param fields: The event's fields.
    """
    request_id = limit_id(request_id)
    buffer = traces.buffers.get(request_id)
    if buffer is None:
        buffer = _add_buffer(traces, request_id, now_s)
    buffer.events.append(
        TraceEvent(
            after_s=now_s - buffer.started_s,
            event=event,
            fields={name: _limit_value(name, value) for name, value in fields.items()},
        )
    )
    buffer.recorded_events += 1


def _add_buffer(traces, request_id, now_s):
    if len(traces.buffers) >= traces.max_requests:
        traces.buffers.popitem(last=False)
    buffer = TraceBuffer(started_s=now_s, events=deque(maxlen=traces.max_events))
    traces.buffers[request_id] = buffer
    return buffer


def _limit_value(name, value):
    if name not in TRACE_FIELDS:
        return WITHHELD
    if value is None or isinstance(value, bool | int | float):
        return value
    return str(value)[:MAX_VALUE_CHARACTERS]
