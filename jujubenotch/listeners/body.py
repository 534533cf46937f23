"""Collects the body of a request while it arrives."""

# Smaller parts are put together, as each object takes more than its bytes.
MIN_PART_BYTES = 16 * 1024


class BodyBuffer:
    """The parts of a body that have arrived.

    >>> body = BodyBuffer()
    >>> body.append(b"ab")
    >>> body.append(b"c")
    >>> body.size_bytes, body.take()
    (3, b'abc')
    """

    def __init__(self) -> None:
        self.size_bytes = 0
        self._parts: list[bytes] = []
        self._small = bytearray()

    def append(self, part: bytes) -> None:
        """Add a part.

        :param part: The next bytes of the body.
        """
        self.size_bytes += len(part)
        if len(part) < MIN_PART_BYTES:
            self._small += part
            if len(self._small) < MIN_PART_BYTES:
                return
            part = b""
        if self._small:
            self._parts.append(bytes(self._small))
            self._small.clear()
        if part:
            self._parts.append(part)

    def take(self) -> bytes:
        """Return the body, and let go of its parts."""
        body = b"".join((*self._parts, self._small))
        self.clear()
        return body

    def clear(self) -> None:
        """Let go of all that has arrived."""
        self.size_bytes = 0
        self._parts.clear()
        self._small = bytearray()
