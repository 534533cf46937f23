"""An event loop whose clock jumps to the next timer instead of waiting."""

import asyncio


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs hours of pauses at once; each run is the same."""

    def __init__(self):
        super().__init__()
        self.now_s = 1000.0
        wait_for_real = self._selector.select

        def select(timeout_s=None):
            if timeout_s is None:
                raise RuntimeError("nothing is left to wait for")
            self.now_s += max(0.0, timeout_s)
            return wait_for_real(0)

        self._selector.select = select

    def time(self):
        return self.now_s
