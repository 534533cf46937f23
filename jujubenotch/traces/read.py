"""Queries of the ring."""

from jujubenotch.traces.model import Trace, Traces


def read_trace(traces: Traces, request_id: str) -> Trace | None:
    """Read what is kept of a request.

    :param traces: The ring.
    :param request_id: The request.
    :returns: Its trace; ``None`` when it was never seen or was pushed out.
    """
    buffer = traces.buffers.get(request_id)
    if buffer is None:
        return None
    return Trace(
        request_id=request_id,
        events=tuple(buffer.events),
        dropped_events=buffer.recorded_events - len(buffer.events),
    )
