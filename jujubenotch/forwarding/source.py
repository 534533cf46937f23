"""Sources of typed state that an instance follows."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

Value = TypeVar("Value")


@dataclass(frozen=True, kw_only=True, slots=True)
class Item(Generic[Value]):
    """One item of a source.

    :param value: ``None`` when it was removed or can't be read.
    :param is_removed: Whether it was removed.
    """

    key: str
    value: Value | None
    is_removed: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Page(Generic[Value]):
    """The items of a source, or those that have changed.

    :param revision: Where the next changes begin: the newest of the whole store.
    :param changed_revision: The newest of the items; 0 without any.
    :param answered_store_s: The store's clock as it answered, in seconds.
    """

    items: tuple[Item[Value], ...]
    revision: int
    answered_store_s: float
    changed_revision: int = 0


class Source(Protocol[Value]):
    """Reads items and waits for their changes.

    Both methods raise :class:`SourceError` when no answer came, and call
    ``note_progress`` for each part of an answer that comes.
    """

    async def read_all(self, note_progress: Callable[[], None]) -> Page[Value]:
        """Read all items."""

    async def read_changes(
        self, after_revision: int, wait_s: float, note_progress: Callable[[], None]
    ) -> Page[Value]:
        """Wait for changes after a revision, for at most ``wait_s`` seconds.

        :raises HistoryLostError: The changes aren't known any more.
        """
