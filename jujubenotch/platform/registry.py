"""Registers the instances of a data centre in the platform's store."""

from dataclasses import dataclass

import orjson

from jujubenotch.forwarding import SourceError
from jujubenotch.platform.addresses import is_address
from jujubenotch.platform.rows import write_row
from jujubenotch.platform.store import RowsDocument, StoreClient, call_store

INSTANCE_TABLE = "instances"
# The row's key is all that is read; a row can't be empty.
ROW_CONTENT = b"{}"


@dataclass(frozen=True, kw_only=True)
class StoreRegistry:
    """The rows of the running instances: one part for each data centre.

    :param client: The client of the store.
    """

    client: StoreClient

    async def list_instances(self, data_centre: str) -> set[str]:
        """Return the addresses of all registered endpoints of a data centre.

        :param data_centre: The data centre.
        :returns: The addresses as ``host:port``.
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
        return {row.key for row in document.rows if is_address(row.key)}

    async def add_instance(self, data_centre: str, address: str) -> None:
        """Register an endpoint.

        :param data_centre: The data centre.
        :param address: The address as ``host:port``.
        :raises SourceError: The store did not confirm the registration.
        """
        await write_row(
            self.client, INSTANCE_TABLE, address, ROW_CONTENT, part=data_centre
        )
