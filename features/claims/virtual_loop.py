"""An event loop whose clock jumps to the next timer instead of waiting."""

import asyncio


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs hours of pauses without waiting, and makes each run reproducible."""

    def __init__(self):
        super().__init__()
        self.now_s = 1000.0
        real_select = self._selector.select

        def select(timeout_s=None):
            if timeout_s is None:
                raise RuntimeError(
                    "the event loop would wait forever: no timer is scheduled"
                )
            self.now_s += max(0.0, timeout_s)
            return real_select(0)

        self._selector.select = select

    def time(self):
        return self.now_s
