"""Turns a trace into bytes for peers, and back."""

import orjson
from pydantic import TypeAdapter, ValidationError

from jujubenotch.traces.errors import TracesError
from jujubenotch.traces.model import Trace

_ADAPTER = TypeAdapter(Trace)


def encode_trace(trace: Trace) -> bytes:
    """Encode a trace.

    :param trace: The trace.
    :returns: JSON.
    """
    return orjson.dumps(trace)


def decode_trace(content: bytes) -> Trace:
    """Decode a trace that a peer sent.

    :param content: JSON made by :func:`encode_trace`.
    :returns: The trace.
    :raises TracesError: The bytes are not a trace.
    """
    try:
        return _ADAPTER.validate_json(content)
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        raise TracesError(f"not a trace: {first['msg']}") from error
