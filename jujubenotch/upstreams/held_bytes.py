"""Bounds the memory that the responses of upstreams take together.

Each response has a bound of its own, but many at once can take more memory than the
instance has. When they do, the one that takes most is ended, as sound responses are
usually small.
"""

import time
import weakref
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from jujubenotch.memory import (
    MemoryAccount,
    MemoryUse,
    Rank,
    record_size,
    release_use,
)
from jujubenotch.upstreams.errors import AnswerTooLargeError

# Smaller complete responses are not on the account, as they are sent at once.
MIN_HELD_BYTES = 16 * 1024
# Streams hold less at any time.
LARGE_SHARE = 1 / 200


def make_answer_use(
    *,
    has_length: bool,
    cut: Callable[[AnswerTooLargeError], None],
    large_bytes: float = 0,
) -> MemoryUse:
    """Make the account of one response.

    :param has_length: Whether the head of the response tells how long it is.
    :param cut: Called with an error if the response has to be ended for want of memory.
    :param large_bytes: The size from which a response without a length is suspected to
        have no end.
    """

    def rank(use, now_s):
        is_unbounded = not has_length and use.size_bytes > large_bytes
        return Rank(is_unbounded=is_unbounded, weight=use.size_bytes)

    return MemoryUse(rank=rank, end=lambda: cut(_make_error()))


@contextmanager
def hold_answer(
    memory: MemoryAccount,
    *,
    has_length: bool,
    cut: Callable[[AnswerTooLargeError], None],
) -> Iterator[MemoryUse]:
    """Keep account of a response while it is received.

    :param memory: The account; changed in place.
    :param has_length: Whether the head of the response tells how long it is.
    :param cut: Called with an error if the response has to be ended for want of memory.
    :returns: A context manager that yields the response's own account.
    """
    use = make_answer_use(
        has_length=has_length,
        cut=cut,
        large_bytes=memory.max_bytes * LARGE_SHARE,
    )
    record_size(memory, use, 0, time.monotonic())
    try:
        yield use
    finally:
        release_use(memory, use)


def record_held(memory: MemoryAccount, use: MemoryUse, size_bytes: int) -> None:
    """Record how many bytes a response holds.

    If all together hold too many, those that hold most are ended, first among those
    that don't tell their length.

    :param memory: The account; changed in place.
    :param use: The response's own account; changed in place.
    :param size_bytes: The bytes that it holds now.
    :raises AnswerTooLargeError: This response has to end.
    """
    is_ended = use not in memory.uses
    if is_ended or not record_size(memory, use, size_bytes, time.monotonic()):
        raise _make_error()


def hold_while_alive(memory: MemoryAccount, owner: object, size_bytes: int) -> None:
    """Keep account of a complete response until the object that holds it is freed.

    Its caller is waiting for it, so it is not ended for want of memory; others are.

    :param memory: The account; changed in place.
    :param owner: The object that holds the response.
    :param size_bytes: The bytes of the response.
    """
    if size_bytes < MIN_HELD_BYTES:
        return
    use = MemoryUse(rank=lambda use, now_s: None, end=lambda: None)
    record_size(memory, use, size_bytes, time.monotonic())
    weakref.finalize(owner, release_use, memory, use)


def _make_error():
    return AnswerTooLargeError(
        "requests and responses in progress hold more memory than they may; this "
        "response takes most of it and is discarded"
    )
