"""An in-process platform, for first trials and for tests."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from jujubenotch.tables.errors import ConflictError
from jujubenotch.tables.interface import InstanceListEntry, Row, Write


@dataclass(kw_only=True)
class EmbeddedPlatformClient:
    """A platform that keeps its data in memory, until the process ends.

    >>> EmbeddedPlatformClient().instances
    []
    """

    tables: dict[str, dict[str, Row]] = field(default_factory=dict)
    objects: dict[str, bytes] = field(default_factory=dict)
    instances: list[InstanceListEntry] = field(default_factory=list)

    async def transact(self, writes: Sequence[Write]) -> None:
        """Apply all writes atomically, or none of them.

        :param writes: The writes; the expected versions refer to the rows as
            they were before the transaction.
        :raises ConflictError: A row does not have the expected version.
        """
        for write in writes:
            self._check_version(write)
        for write in writes:
            self._apply_write(write)

    async def read(self, table: str, key: str) -> Row | None:
        """Read one row.

        :param table: The name of the table.
        :param key: The key of the row.
        :returns: The row; ``None`` if it does not exist.
        """
        return self.tables.get(table, {}).get(key)

    async def scan(self, table: str, after_key: str = "") -> list[Row]:
        """Read the rows with keys greater than ``after_key``, in key order.

        :param table: The name of the table.
        :param after_key: Only rows with greater keys are returned.
        """
        rows = self.tables.get(table, {})
        return [rows[key] for key in sorted(rows) if key > after_key]

    async def put_object(self, name: str, content: bytes) -> None:
        """Store an object, replacing any object of the same name.

        :param name: The name of the object.
        :param content: The content of the object.
        """
        self.objects[name] = content

    async def get_object(self, name: str) -> bytes | None:
        """Read an object.

        :param name: The name of the object.
        :returns: The content; ``None`` if the object does not exist.
        """
        return self.objects.get(name)

    async def list_instances(self) -> list[InstanceListEntry]:
        """Read the list of instances and upstreams."""
        return list(self.instances)

    async def close(self) -> None:
        """Do nothing, because there is no connection to close."""

    def set_instances(self, instances: Sequence[InstanceListEntry]) -> None:
        """Replace the list of instances and upstreams.

        :param instances: The new list.
        """
        self.instances = list(instances)

    def _check_version(self, write):
        row = self.tables.get(write.table, {}).get(write.key)
        version = row.version if row else 0
        if version != write.expected_version:
            raise ConflictError(table=write.table, key=write.key)

    def _apply_write(self, write):
        rows = self.tables.setdefault(write.table, {})
        if write.value is None:
            rows.pop(write.key, None)
            return
        rows[write.key] = Row(
            table=write.table,
            key=write.key,
            value=write.value,
            version=write.expected_version + 1,
        )
