"""An event loop whose time passes only while nothing is to be done."""

import asyncio
import contextlib
import selectors
import time
from unittest import mock

# Time passes between any two steps, as it does on a machine.
STEP_S = 2e-6
START_S = 1000.0


class _Selector(selectors.SelectSelector):
    """Lets the time of the loop pass in place of waiting."""

    loop = None

    def select(self, timeout=None):
        self.loop.now_s += STEP_S
        events = super().select(0)
        if not events and timeout:
            self.loop.now_s += timeout
        return events


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop with a time of its own, in seconds."""

    def __init__(self):
        self.now_s = START_S
        selector = _Selector()
        super().__init__(selector)
        selector.loop = self

    def time(self):
        return self.now_s


@contextlib.contextmanager
def open_virtual_time():
    """Open a loop whose time is that of all clocks."""
    loop = VirtualTimeLoop()
    with (
        mock.patch.object(time, "monotonic", loop.time),
        mock.patch.object(time, "clock_gettime", lambda clock: loop.time()),
    ):
        try:
            yield loop
        finally:
            loop.close()
