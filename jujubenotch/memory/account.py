"""Bounds the memory that requests and responses in progress take together.

Each has a bound of its own, but many at once can take more memory than the instance
has. When they do, those end first that have no bound, then those that hold most for
longest: sound ones are small or soon over.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

DEFAULT_MAX_BYTES = 64 * 1024 * 1024
# Ending a use that holds a smaller share of all makes no room.
MIN_ENDED_SHARE = 1 / 10_000


@dataclass(frozen=True, kw_only=True, order=True)
class Rank:
    """How soon a use ends for want of memory; the highest one ends first.

    :param is_unbounded: Whether nothing tells how much more it will hold.
    :param weight: The bytes that it holds, or bytes times seconds.
    """

    is_unbounded: bool
    weight: float


@dataclass(eq=False, kw_only=True)
class MemoryUse:
    """What one request or response holds.

    :param rank: Returns the rank of a use at a monotonic time in seconds; ``None``
        while it must not be ended.
    :param end: Ends it.
    :param size_bytes: The bytes that it holds.
    """

    rank: Callable[["MemoryUse", float], Rank | None]
    end: Callable[[], None]
    size_bytes: int = 0


@dataclass(kw_only=True)
class MemoryAccount:
    """The memory that all uses take.

    :param max_bytes: The bytes that they may hold together.
    :param total_bytes: The bytes that they hold.
    :param uses: The uses that hold any.

    >>> MemoryAccount().total_bytes
    0
    """

    max_bytes: int = DEFAULT_MAX_BYTES
    total_bytes: int = 0
    uses: set[MemoryUse] = field(default_factory=set)


def record_size(
    account: MemoryAccount, use: MemoryUse, size_bytes: int, now_s: float
) -> bool:
    """Record how many bytes a use holds, and end uses while all hold too many.

    :param account: The account; changed in place.
    :param use: The use; changed in place.
    :param size_bytes: The bytes that it holds now.
    :param now_s: The present monotonic time, in seconds.
    :returns: Whether this use may go on.
    """
    if use not in account.uses:
        use.size_bytes = 0
        account.uses.add(use)
    account.total_bytes += size_bytes - use.size_bytes
    use.size_bytes = size_bytes
    while account.total_bytes > account.max_bytes:
        last = _find_last(account, now_s)
        if last is None:
            break
        release_use(account, last)
        last.end()
    return use in account.uses


def release_use(account: MemoryAccount, use: MemoryUse) -> None:
    """Record that a use holds nothing any more.

    :param account: The account; changed in place.
    :param use: The use.
    """
    if use in account.uses:
        account.uses.remove(use)
        account.total_bytes -= use.size_bytes


def _find_last(account, now_s):
    """Find the use with the highest rank, or ``None`` when none may be ended."""
    last = None
    last_rank = None
    min_bytes = account.max_bytes * MIN_ENDED_SHARE
    for use in account.uses:
        rank = use.rank(use, now_s) if use.size_bytes > min_bytes else None
        if rank is not None and (last_rank is None or rank > last_rank):
            last, last_rank = use, rank
    return last
