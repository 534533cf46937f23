"""Keeps the time for which an upstream wants no requests, and ends it in steps."""

from collections.abc import Callable
from dataclasses import dataclass

# After the time has ended, the share of the requests that may use the upstream grows
# from 0 to 1 within this time, as all instances may have been told the same.
RETURN_S = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class NamedWait:
    """The time for which an upstream wants no requests of this instance.

    :param named_s: When this instance read it, in seconds.
    :param until_s: Its end, in seconds.
    """

    named_s: float
    until_s: float


def is_returning(
    wait: NamedWait | None, draw: Callable[[], float], now_s: float
) -> bool:
    """Return whether a request should spare an upstream whose time has just ended.

    :param wait: The time that the upstream named; ``None`` when it named none.
    :param draw: Returns a random number in [0, 1).
    :param now_s: The present time, in seconds.
    """
    if wait is None or now_s - wait.until_s >= RETURN_S:
        return False
    return now_s - wait.until_s < draw() * RETURN_S
