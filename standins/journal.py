"""An append-only journal of what a stand-in did, one JSON line an event."""

import time
from collections.abc import Callable
from pathlib import Path

import orjson

Journal = Callable[..., None]


def open_journal(path: str | None) -> Journal:
    """Open a journal.

    Each line reaches the kernel before the call returns, so that none is lost
    when the process is killed.

    :param path: The file to append to; ``None`` keeps no journal.
    :returns: A function that writes one event with its fields and ``time_s``,
        the wall clock in seconds.
    """
    if path is None:
        return lambda event, **fields: None
    file = Path(path).open("ab", buffering=0)

    def write(event, **fields):
        line = {"event": event, "time_s": time.time(), **fields}
        file.write(orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE))

    return write


def read_journal(path: str) -> list[dict]:
    """Read a journal, leaving out a last line that is not whole.

    :param path: The file.
    :returns: Its events, in order.
    """
    content = Path(path).read_bytes()
    whole, _, _ = content.rpartition(b"\n")
    return [orjson.loads(line) for line in whole.splitlines()]
