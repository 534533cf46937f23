"""Tells a connection whose bytes make no progress, however few the HTTP parser keeps.

Informational heads, the lines of a head, the sizes and extensions of chunks, and
trailers have no end that the HTTP library would look for.
"""

# More than the heads that precede a body have in practice.
MAX_OVERHEAD_BYTES = 64 * 1024
# A body whose chunks have one byte each has five bytes of overhead for each.
OVERHEAD_PER_BODY_BYTE = 16


def is_overhead_too_large(received_bytes: int, body_bytes: int) -> bool:
    """Return whether a response has too many bytes that aren't its body's.

    :param received_bytes: All bytes that were received since the request was sent.
    :param body_bytes: Those of them that belong to the body.
    """
    allowed_bytes = MAX_OVERHEAD_BYTES + OVERHEAD_PER_BODY_BYTE * body_bytes
    return received_bytes - body_bytes > allowed_bytes
