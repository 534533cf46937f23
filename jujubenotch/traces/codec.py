"""Encodes traces for peers, and decodes those that peers send."""

import orjson
from pydantic import TypeAdapter, ValidationError

from jujubenotch.traces.errors import TracesError
from jujubenotch.traces.model import Trace

_ADAPTER = TypeAdapter(Trace)


def encode_trace(trace: Trace) -> bytes:
    """Encode a trace.

    :param trace: The trace.
    :returns: The trace as JSON.
    """
    return orjson.dumps(trace)


def decode_trace(content: bytes) -> Trace:
    """Decode a trace that a peer sent.

    :param content: JSON made by :func:`encode_trace`.
    :returns: The trace.
    :raises TracesError: The bytes are not a valid trace.
    """
    try:
        return _ADAPTER.validate_json(content)
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        raise TracesError(f"invalid trace from a peer: {first['msg']}") from error
