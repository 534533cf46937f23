"""Splits a byte stream into server-sent events; finds its end marker and ids.

The payload of an event is forwarded without being parsed.
"""

import re
from dataclasses import dataclass, field

from jujubenotch.upstreams.errors import AnswerTooLargeError

END_MARKER = b"data: [DONE]"
# A stream whose next event is larger may be bytes without an end.
MAX_EVENT_BYTES = 1024 * 1024
_EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
MAX_END_BYTES = max(map(len, _EVENT_ENDS))
_ID_LINE = re.compile(rb"^id: ?([^\r\n]+)", re.MULTILINE)


@dataclass(slots=True, kw_only=True)
class EventBuffer:
    """The parsing state of one stream.

    :param partial: The bytes received of an event that is not yet complete.
    :param last_events: The complete events that were taken last.
    :param events: The number of events received, without the end marker.
    :param is_ended: Whether the end marker was received.
    :param end_marker: The event that ends a complete stream; empty when the end
        of the body marks the end of the stream.

    >>> buffer = EventBuffer()
    >>> take_complete_events(buffer, b"id: 0\\ndata: a\\n\\nid: 1\\nda")
    b'id: 0\\ndata: a\\n\\n'
    """

    partial: bytearray = field(default_factory=bytearray)
    last_events: bytes = b""
    events: int = 0
    is_ended: bool = False
    end_marker: bytes = END_MARKER


def take_complete_events(buffer: EventBuffer, chunk: bytes) -> bytes:
    """Add a chunk and return the complete events, without the end marker.

    :param buffer: The stream's buffer; changed in place.
    :param chunk: The bytes received.
    :returns: Complete events, to be forwarded unchanged; may be empty.
    :raises AnswerTooLargeError: The next event is larger than ``MAX_EVENT_BYTES``.
    """
    if buffer.partial:
        if not _ends_event(buffer, chunk):
            _keep_partial(buffer, chunk)
            return b""
        chunk = bytes(buffer.partial) + chunk
        buffer.partial = bytearray()
    if not chunk.endswith(_EVENT_ENDS):
        chunk = _split_partial(buffer, chunk)
    if buffer.end_marker and buffer.end_marker in chunk:
        chunk = _cut_end_marker(buffer, chunk)
    if chunk:
        buffer.last_events = chunk
        buffer.events += chunk.count(b"data:")
    return chunk


def read_last_id(buffer: EventBuffer) -> str:
    """Return the last id among the events that were taken last.

    :param buffer: The stream's buffer.
    :returns: The id; empty when these events have none.
    """
    identifiers = _ID_LINE.findall(buffer.last_events)
    return identifiers[-1].decode("latin-1") if identifiers else ""


def repeats_events(events: bytes, last_id: str) -> bool:
    """Tell whether a resumed stream begins with events that were already sent.

    :param events: The first complete events of the resumed stream.
    :param last_id: The id of the last event that was sent; empty for none.
    :returns: True when the first id is not greater than the last one. Ids that
        are not decimal numbers are only compared for equality.
    """
    found = _ID_LINE.search(events)
    if not last_id or found is None:
        return False
    first_id = found[1].decode("latin-1")
    if first_id.isdecimal() and last_id.isdecimal():
        return int(first_id) <= int(last_id)
    return first_id == last_id


def _ends_event(buffer, chunk):
    """Return whether the partial event ends in a chunk, or between both."""
    joint = buffer.partial[1 - MAX_END_BYTES :] + chunk[:MAX_END_BYTES]
    return any(end in joint or end in chunk for end in _EVENT_ENDS)


def _split_partial(buffer, chunk):
    ends = [chunk.rfind(end) + len(end) for end in _EVENT_ENDS if end in chunk]
    position = max(ends, default=0)
    _keep_partial(buffer, chunk[position:])
    return chunk[:position]


def _keep_partial(buffer, chunk):
    buffer.partial += chunk
    if len(buffer.partial) > MAX_EVENT_BYTES:
        raise AnswerTooLargeError(
            f"event too large: {len(buffer.partial)} bytes received without its end, "
            f"at most {MAX_EVENT_BYTES} allowed; the stream is ended"
        )


def _cut_end_marker(buffer, chunk):
    position = chunk.rfind(buffer.end_marker)
    is_line_start = position == 0 or chunk[position - 1 : position] == b"\n"
    if not is_line_start:
        return chunk
    buffer.is_ended = True
    return chunk[:position]
