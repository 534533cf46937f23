"""The typed interface to the platform's services."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, kw_only=True)
class Row:
    """One row of the table service.

    :param version: Grows by one with each write; starts at 1.
    """

    table: str
    key: str
    value: bytes
    version: int


@dataclass(frozen=True, kw_only=True)
class Write:
    """One conditional write of a transaction.

    :param value: The new value; ``None`` deletes the row.
    :param expected_version: The version that the row must have; 0 means that
        it must not exist.
    """

    table: str
    key: str
    value: bytes | None
    expected_version: int


@dataclass(frozen=True, kw_only=True)
class ListedInstance:
    """One entry of the instance list, which lags behind the truth.

    :param name: An instance's or an upstream's name.
    :param kind: ``instance`` or ``upstream``.
    :param peer_address: ``host:port`` of its peer listener; empty for an
        upstream.
    """

    name: str
    kind: str
    data_centre: str
    peer_address: str = ""
    is_leaving: bool = False


class Platform(Protocol):
    """What the system uses of the platform.

    Each method raises :class:`PlatformUnavailableError` when nothing took
    effect, and :class:`ReplyLostError` when a write may have taken effect.
    """

    async def transact(self, writes: Sequence[Write]) -> None:
        """Apply all writes at once, or none.

        :raises ConflictError: A row's version is not the expected one.
        """

    async def read(self, table: str, key: str) -> Row | None:
        """Read one row; ``None`` when it does not exist."""

    async def scan(self, table: str, after_key: str = "") -> list[Row]:
        """Read the rows of a table with keys above ``after_key``, in key order."""

    async def put_object(self, name: str, content: bytes) -> None:
        """Store an object, replacing one of the same name."""

    async def get_object(self, name: str) -> bytes | None:
        """Read an object; ``None`` when it does not exist."""

    async def list_instances(self) -> list[ListedInstance]:
        """Read the lagging list of live and leaving instances and upstreams."""

    async def close(self) -> None:
        """Close the connections to the platform."""
