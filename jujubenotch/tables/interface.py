"""Interface of the platform clients."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, kw_only=True)
class Row:
    """One row of the table service.

    :param version: Starts at 1 and increases by one with each write.
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
        the row must not exist.
    """

    table: str
    key: str
    value: bytes | None
    expected_version: int


@dataclass(frozen=True, kw_only=True)
class InstanceListEntry:
    """One entry of the instance list, which lags behind the actual state.

    :param name: The name of an instance or upstream.
    :param kind: ``instance`` or ``upstream``.
    :param peer_address: ``host:port`` of the instance's listener for peers;
        empty for an upstream.
    :param is_leaving: Whether the instance or upstream is leaving the deployment.
    """

    name: str
    kind: str
    data_centre: str
    peer_address: str = ""
    is_leaving: bool = False


class PlatformClient(Protocol):
    """The operations of the platform that this system uses.

    Each method raises :class:`PlatformUnavailableError` if the call had no
    effect, and :class:`ReplyLostError` if a write may have taken effect.
    """

    async def transact(self, writes: Sequence[Write]) -> None:
        """Apply all writes atomically, or none of them.

        :raises ConflictError: A row does not have the expected version.
        """

    async def read(self, table: str, key: str) -> Row | None:
        """Read one row; the result is ``None`` if it does not exist."""

    async def scan(self, table: str, after_key: str = "") -> list[Row]:
        """Read the rows with keys greater than ``after_key``, in key order."""

    async def put_object(self, name: str, content: bytes) -> None:
        """Store an object, replacing any object of the same name."""

    async def get_object(self, name: str) -> bytes | None:
        """Read an object; the result is ``None`` if it does not exist."""

    async def list_instances(self) -> list[InstanceListEntry]:
        """Read the list of live and leaving instances and upstreams.

        The list may be out of date.
        """

    async def close(self) -> None:
        """Close the connections to the platform."""
