"""The interface of the sources whose items and changes an instance reads."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

Value = TypeVar("Value")


@dataclass(frozen=True, kw_only=True, slots=True)
class Item(Generic[Value]):
    """One item of a source.

    :param value: The decoded value; ``None`` when the item was removed or can't
        be decoded.
    :param is_removed: Whether the item was removed.
    :param revision: The revision of the store at which the item was written; 0
        for a removed item.
    :param content: The value as the store holds it.
    """

    key: str
    value: Value | None
    is_removed: bool = False
    revision: int = 0
    content: bytes = b""


@dataclass(frozen=True, kw_only=True, slots=True)
class Page(Generic[Value]):
    """One answer of a source: all its items, or those that have changed.

    :param revision: The newest revision of the whole store, after which the next
        changes are read.
    :param changed_revision: The newest revision of the items; 0 when the page
        has no items.
    :param store_time_s: The store's clock when it answered, in seconds.
    :param era: Counts how often the store was restored from a copy. Revisions of
        different eras can't be compared.
    :param has_more: Whether the answer leaves out the last items or changes.
    """

    items: tuple[Item[Value], ...]
    revision: int
    store_time_s: float
    changed_revision: int = 0
    era: int = 0
    has_more: bool = False


class Source(Protocol[Value]):
    """Reads items and waits for their changes.

    Both methods raise :class:`SourceError` when the store does not return a valid
    response. They call ``note_progress`` for each part of a response that arrives.
    """

    def make_item(self, key: str, content: bytes, revision: int) -> Item[Value]:
        """Decode an item that another instance has read."""

    async def read_all(self, note_progress: Callable[[], None]) -> Page[Value]:
        """Read all items."""

    async def read_changes(
        self, after_revision: int, wait_s: float, note_progress: Callable[[], None]
    ) -> Page[Value]:
        """Wait for changes after a revision, for at most ``wait_s`` seconds.

        :raises HistoryLostError: The store no longer holds the changes.
        """
