"""Registers the instances of a data centre in the platform's store."""

import base64
from dataclasses import dataclass

import orjson
from pydantic import BaseModel, ConfigDict

from jujubenotch.forwarding import SourceError
from jujubenotch.membership import ListedInstance, is_incarnation
from jujubenotch.platform.addresses import is_address
from jujubenotch.platform.rows import remove_row, write_row
from jujubenotch.platform.store import RowsDocument, StoreClient, call_store

INSTANCE_TABLE = "instances"


class InstanceDocument(BaseModel):
    """The value of an instance's row; earlier releases write an empty document.

    :param incarnation: Identifies the start of the process.
    """

    model_config = ConfigDict(extra="ignore", strict=True)

    incarnation: str = ""


@dataclass(frozen=True, kw_only=True)
class StoreRegistry:
    """The rows of the running instances: one part for each data centre.

    :param client: The client of the store.
    """

    client: StoreClient

    async def list_instances(self, data_centre: str) -> tuple[ListedInstance, ...]:
        """Return all registered instances of a data centre.

        :param data_centre: The data centre.
        :raises SourceError: The store did not return a valid response.
        """
        parameters = {"table": INSTANCE_TABLE, "part": data_centre}
        content = await call_store(
            self.client, "GET", "/v1/rows-get", params=parameters
        )
        try:
            document = RowsDocument.model_validate(orjson.loads(content))
        except ValueError as error:
            raise SourceError(f"the list of instances is invalid: {error}") from error
        return tuple(
            ListedInstance(
                data_centre=data_centre,
                address=row.key,
                incarnation=_read_incarnation(row.value),
                key=row.key,
                revision=row.revision,
            )
            for row in document.rows
            if is_address(row.key)
        )

    async def add_instance(
        self, data_centre: str, address: str, incarnation: str = ""
    ) -> None:
        """Register an endpoint.

        :param data_centre: The data centre.
        :param address: The address as ``host:port``.
        :param incarnation: Identifies the start of the process.
        :raises SourceError: The store did not confirm the registration.
        """
        content = InstanceDocument(incarnation=incarnation).model_dump_json().encode()
        await write_row(self.client, INSTANCE_TABLE, address, content, part=data_centre)

    async def remove_instance(self, entry: ListedInstance) -> None:
        """Remove an entry, unless its instance has registered again since.

        :param entry: The entry.
        :raises SourceError: The store did not confirm it.
        """
        await remove_row(
            self.client,
            INSTANCE_TABLE,
            entry.key,
            part=entry.data_centre,
            revision=entry.revision,
        )


def _read_incarnation(value):
    """Read a row's value; that of another writer tells no incarnation."""
    try:
        document = InstanceDocument.model_validate_json(base64.b64decode(value))
    except ValueError:
        return ""
    return document.incarnation if is_incarnation(document.incarnation) else ""
