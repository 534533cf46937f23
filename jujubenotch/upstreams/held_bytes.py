"""Bounds the memory that all responses of upstreams take together.

Each response has a bound of its own, but many at once can take more memory than the
instance has. When they do, the one that takes most is ended, as sound responses are
usually small.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from jujubenotch.upstreams.errors import AnswerTooLargeError

DEFAULT_MAX_BYTES = 64 * 1024 * 1024


@dataclass(eq=False, kw_only=True)
class HeldAnswer:
    """What one response holds in memory.

    :param has_length: Whether its head tells how long it is.
    :param cut: Ends the exchange with an error.
    :param size_bytes: The bytes that it holds.
    """

    has_length: bool
    cut: Callable[[AnswerTooLargeError], None]
    size_bytes: int = 0


@dataclass(kw_only=True)
class AnswerMemory:
    """The memory that the responses in progress take.

    :param max_bytes: The bytes that they may hold together.
    :param total_bytes: The bytes that they hold.
    :param held: The responses in progress.

    >>> AnswerMemory().total_bytes
    0
    """

    max_bytes: int = DEFAULT_MAX_BYTES
    total_bytes: int = 0
    held: set[HeldAnswer] = field(default_factory=set)


@contextmanager
def hold_answer(
    memory: AnswerMemory,
    *,
    has_length: bool,
    cut: Callable[[AnswerTooLargeError], None],
) -> Iterator[HeldAnswer]:
    """Keep account of a response while it is received.

    :param memory: The account; changed in place.
    :param has_length: Whether the head of the response tells how long it is.
    :param cut: Called with an error if the response has to be ended for want of memory.
    :returns: A context manager that yields the response's own account.
    """
    answer = HeldAnswer(has_length=has_length, cut=cut)
    memory.held.add(answer)
    try:
        yield answer
    finally:
        _release(memory, answer)


def record_held(memory: AnswerMemory, answer: HeldAnswer, size_bytes: int) -> None:
    """Record how many bytes a response holds.

    If all together hold too many, those that hold most are ended, first among those
    that don't tell their length.

    :param memory: The account; changed in place.
    :param answer: The response's own account; changed in place.
    :param size_bytes: The bytes that it holds now.
    :raises AnswerTooLargeError: This response has to end.
    """
    if answer not in memory.held:
        raise _make_error(memory, answer)
    memory.total_bytes += size_bytes - answer.size_bytes
    answer.size_bytes = size_bytes
    while memory.total_bytes > memory.max_bytes:
        largest = max(memory.held, key=_rank)
        error = _make_error(memory, largest)
        _release(memory, largest)
        if largest is answer:
            raise error
        largest.cut(error)


def _rank(answer):
    """Rank a response; the one with the highest rank is ended first."""
    return not answer.has_length, answer.size_bytes


def _release(memory, answer):
    if answer in memory.held:
        memory.held.remove(answer)
        memory.total_bytes -= answer.size_bytes


def _make_error(memory, answer):
    return AnswerTooLargeError(
        f"responses in progress hold more than {memory.max_bytes} bytes; this one of "
        f"{answer.size_bytes} bytes takes most of them and is discarded"
    )
