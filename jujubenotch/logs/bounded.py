"""Non-blocking log output that limits the rate of lines and the size of its buffer."""

import os
import time
from collections.abc import Callable
from dataclasses import dataclass, field

MAX_LINES_PER_S = 400.0
MAX_BURST_LINES = 2000.0
MAX_PENDING_BYTES = 256 * 1024


@dataclass(kw_only=True)
class BoundedOutput:
    """Writes lines to a file descriptor without blocking, and counts dropped lines.

    :param write_some: Writes bytes and returns the number of bytes written;
        raises :class:`BlockingIOError` when it can't write any without blocking.
    :param read_clock_s: Reads a monotonic clock, in seconds.
    :param dropped: The number of lines dropped since the last accepted line.

    >>> output = BoundedOutput(write_some=len, read_clock_s=lambda: 0.0)
    >>> output.write("a line\\n")
    """

    write_some: Callable[[bytes], int]
    read_clock_s: Callable[[], float] = time.monotonic
    dropped: int = 0
    _pending: bytearray = field(default_factory=bytearray, repr=False)
    _allowed_lines: float = MAX_BURST_LINES
    _refilled_s: float = 0.0

    def write(self, text: str) -> None:
        """Buffer a line; drop it when the line rate or the buffer exceeds its limit.

        :param text: One line with its line terminator.
        """
        self._refill()
        is_full = len(self._pending) + len(text) > MAX_PENDING_BYTES
        if self._allowed_lines < 1 or is_full:
            self.dropped += 1
            return
        self._allowed_lines -= 1
        if self.dropped:
            line = f'{{"event":"log-lines-dropped","count":{self.dropped}}}\n'
            self._pending += line.encode()
            self.dropped = 0
        self._pending += text.encode()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking."""
        while self._pending:
            try:
                written = self.write_some(self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader of the log has closed it, so there is no place left to
                # report the error.
                self._pending.clear()
                return
            del self._pending[:written]

    def _refill(self):
        now_s = self.read_clock_s()
        refill_lines = (now_s - self._refilled_s) * MAX_LINES_PER_S
        self._allowed_lines = min(
            MAX_BURST_LINES, self._allowed_lines + max(0.0, refill_lines)
        )
        self._refilled_s = now_s


def open_bounded_output(descriptor: int) -> BoundedOutput:
    """Set a file descriptor to non-blocking mode and wrap it in a bounded output.

    :param descriptor: The file descriptor, for example 1 for standard output.
    :returns: The output.
    """
    os.set_blocking(descriptor, False)
    return BoundedOutput(write_some=lambda data: os.write(descriptor, data))
