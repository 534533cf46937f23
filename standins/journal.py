"""An append-only journal of a stand-in's events, with one JSON line per event."""

import time
from collections.abc import Callable
from pathlib import Path

import orjson

Journal = Callable[..., None]


def open_journal(path: str | None) -> Journal:
    """Open a journal.

    Each line is handed to the kernel before the call returns, so that no line is
    lost when the process is killed.

    :param path: The file to append to; with ``None`` no journal is written.
    :returns: A function that writes one event with its fields and ``time_s``,
        the wall-clock time in seconds.
    """
    if path is None:
        return lambda event, **fields: None
    file = Path(path).open("ab", buffering=0)

    def write(event, **fields):
        line = {"event": event, "time_s": time.time(), **fields}
        file.write(orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE))

    return write


def read_journal(path: str) -> list[dict]:
    """Read a journal, ignoring an incomplete last line.

    :param path: The file.
    :returns: The events, in the order in which they were written.
    """
    content = Path(path).read_bytes()
    whole, _, _ = content.rpartition(b"\n")
    return [orjson.loads(line) for line in whole.splitlines()]
