"""Decodes chunked request bodies, many chunks in one step.

The HTTP library takes many steps for each chunk, so a body of single-byte chunks takes
the processor from all other callers.
"""

import re
from dataclasses import dataclass

LINE_END = b"\r\n"
# With the extensions of a chunk.
MAX_SIZE_LINE_BYTES = 64
SIZE = re.compile(rb"[0-9A-Fa-f]{1,16}")


class BadChunkError(Exception):
    """The bytes are not a valid chunked body."""


class ChunksTooLargeError(Exception):
    """The chunks of a body announce more bytes than it may have."""


@dataclass(kw_only=True)
class ChunkDecoder:
    """The state of decoding one chunked body.

    The first chunk is preceded by the end of the request's last header line, as each
    other chunk is preceded by a line end.

    :param max_bytes: The largest size of the body.
    :param announced_bytes: The sizes of all chunks that have begun.
    :param left_bytes: The bytes of the current chunk that have not been decoded.
    :param is_complete: Whether the end of the body has been decoded.
    :param is_interrupted: Whether the last step ended although it could have gone on.

    >>> decoder = ChunkDecoder(max_bytes=100)
    >>> decode_chunks(decoder, bytearray(b"\\r\\n2\\r\\nab\\r\\n1\\r\\nc"), 10)
    bytearray(b'abc')
    """

    max_bytes: int
    announced_bytes: int = 0
    left_bytes: int = 0
    is_complete: bool = False
    is_interrupted: bool = False


def decode_chunks(
    decoder: ChunkDecoder, buffer: bytearray, max_chunks: int
) -> bytearray:
    """Decode received bytes.

    :param decoder: The state; changed in place.
    :param buffer: The received bytes; those that were decoded are removed.
    :param max_chunks: The number of chunks after which the step ends.
    :returns: The decoded part of the body.
    :raises BadChunkError: The bytes are not a valid chunked body.
    :raises ChunksTooLargeError: The body is larger than it may be.
    """
    body = bytearray()
    position = 0
    chunks = 0
    while position < len(buffer) and not decoder.is_complete:
        if decoder.left_bytes:
            part = buffer[position : position + decoder.left_bytes]
            body += part
            position += len(part)
            decoder.left_bytes -= len(part)
            continue
        if chunks >= max_chunks:
            break
        length = _decode_size_line(decoder, buffer, position)
        if not length:
            break
        position += length
        chunks += 1
    decoder.is_interrupted = chunks >= max_chunks and position < len(buffer)
    del buffer[:position]
    return body


def _decode_size_line(decoder, buffer, position):
    """Decode the line with a chunk's size; return the number of its bytes.

    It is 0 when the line is incomplete.
    """
    start = position + len(LINE_END)
    end = buffer.find(LINE_END, start, start + MAX_SIZE_LINE_BYTES + len(LINE_END))
    if not LINE_END.startswith(buffer[position:start]):
        raise BadChunkError("no line end before the size of a chunk")
    if end == -1:
        if len(buffer) - start > MAX_SIZE_LINE_BYTES:
            raise BadChunkError("the line with the size of a chunk is too long")
        return 0
    size_bytes = _read_size(buffer[start:end])
    if size_bytes == 0:
        return _decode_last_line(decoder, buffer, position, end + len(LINE_END))
    decoder.announced_bytes += size_bytes
    if decoder.announced_bytes > decoder.max_bytes:
        raise ChunksTooLargeError(f"over {decoder.max_bytes} bytes announced")
    decoder.left_bytes = size_bytes
    return end + len(LINE_END) - position


def _read_size(line):
    text, _, _ = line.partition(b";")
    text = text.strip(b" \t")
    if not SIZE.fullmatch(text):
        raise BadChunkError("the size of a chunk is not a number")
    return int(text, 16)


def _decode_last_line(decoder, buffer, position, end):
    """Decode the empty line after the last size; a body must not have trailers.

    They could be interpreted as the next request of the connection.
    """
    last = buffer[end : end + len(LINE_END)]
    if not LINE_END.startswith(last):
        raise BadChunkError("a chunked body must not have trailers")
    if len(last) < len(LINE_END):
        return 0
    decoder.is_complete = True
    return end + len(LINE_END) - position
