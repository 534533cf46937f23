"""Reads traces from the buffer."""

from jujubenotch.traces.model import Trace, Traces, limit_id


def read_trace(traces: Traces, request_id: str) -> Trace | None:
    """Read the trace of a request.

    :param traces: The buffer of traces.
    :param request_id: The request's id.
    :returns: The trace; ``None`` when none was recorded or it was discarded.
    """
    buffer = traces.buffers.get(limit_id(request_id))
    if buffer is None:
        return None
    return Trace(
        request_id=request_id,
        events=tuple(buffer.events),
        dropped_events=buffer.recorded_events - len(buffer.events),
    )
