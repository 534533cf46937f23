"""Traces of recent requests, for ``jujubenotch explain``.

Errors: ``TracesError``. Features: ``features/traces``.
"""

from jujubenotch.traces.codec import decode_trace, encode_trace
from jujubenotch.traces.errors import TracesError
from jujubenotch.traces.model import (
    TRACE_FIELDS,
    Trace,
    TraceEvent,
    Traces,
    make_traces,
)
from jujubenotch.traces.read import read_trace
from jujubenotch.traces.record import record_event

__all__ = [
    "TRACE_FIELDS",
    "Trace",
    "TraceEvent",
    "Traces",
    "TracesError",
    "decode_trace",
    "encode_trace",
    "make_traces",
    "read_trace",
    "record_event",
]
