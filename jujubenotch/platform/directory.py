"""Lists the running instances of all data centres as objects of the platform's store.

Rows would raise the store's revision, which instances take for a missed change of the
list of upstreams.
"""

from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict, Field

from jujubenotch.forwarding import SourceError
from jujubenotch.membership import ListedInstance, is_incarnation
from jujubenotch.platform.addresses import is_address
from jujubenotch.platform.store import StoreClient, call_store

NAME_PREFIX = "instance-"
# Separates the instance's name, its data centre and its address in the object's name.
SEPARATOR = "@"
# Follows the instance's name. Earlier releases read what follows it as a part of that.
INCARNATION_MARK = "~"
# The object's name is all that is read; an object can't be empty.
OBJECT_CONTENT = b"1"


class NamesDocument(BaseModel):
    """The response to a call for the names of objects.

    :param names: The names, at most 1,000.
    :param has_more: Whether there are further names after the last one.
    """

    model_config = ConfigDict(extra="ignore")

    names: tuple[str, ...] = ()
    has_more: bool = Field(False, alias="has-more")


@dataclass(frozen=True, kw_only=True)
class StoreDirectory:
    """The names and addresses of the instances: one object of the store for each.

    :param client: The client of the store.
    """

    client: StoreClient

    async def add_instance(
        self, name: str, data_centre: str, address: str, incarnation: str = ""
    ) -> ListedInstance:
        """Add an instance.

        :param name: The instance's name.
        :param data_centre: The instance's data centre.
        :param address: The address of its endpoint; empty when it has none.
        :param incarnation: Identifies the start of the process.
        :returns: Its entry.
        :raises SourceError: The store did not confirm it.
        """
        key = _make_name(name, data_centre, address, incarnation)
        await call_store(self.client, "PUT", f"/v1/blob-put/{key}", data=OBJECT_CONTENT)
        return _read_name(key)

    async def remove_instance(self, entry: ListedInstance) -> None:
        """Remove an entry, whose name tells the start of its process.

        :param entry: The entry.
        :raises SourceError: The store did not confirm it.
        """
        await call_store(self.client, "DELETE", f"/v1/blob-drop/{entry.key}")

    async def list_instances(self) -> tuple[ListedInstance, ...]:
        """Return all instances that have been added.

        :raises SourceError: The store did not return a valid response.
        """
        names = []
        parameters = {"prefix": NAME_PREFIX}
        while True:
            document = await self._read_names(parameters)
            names += document.names
            if not document.has_more or not document.names:
                return tuple(_read_name(name) for name in names)
            _check_order(document.names, parameters.get("since-rev", ""))
            parameters["since-rev"] = document.names[-1]

    async def _read_names(self, parameters):
        content = await call_store(
            self.client, "GET", "/v1/blob-list", params=parameters
        )
        try:
            return NamesDocument.model_validate_json(content)
        except ValueError as error:
            raise SourceError(f"the list of names is invalid: {error}") from error


def _check_order(names, after):
    """Raise an error if a store that tells of more names doesn't go on."""
    if names[-1] <= after:
        raise SourceError(f"the list of names goes back from {after!r}")


def _make_name(name, data_centre, address, incarnation):
    start = INCARNATION_MARK + incarnation if incarnation else ""
    return SEPARATOR.join((NAME_PREFIX + name + start, data_centre, address))


def _read_name(text):
    name, _, rest = text.partition(SEPARATOR)
    data_centre, _, address = rest.partition(SEPARATOR)
    # An instance without an endpoint is counted, but no message is sent to it.
    return ListedInstance(
        name=_read_instance_name(name),
        data_centre=data_centre,
        address=address if is_address(address) else "",
        incarnation=_read_incarnation(name),
        key=text,
    )


def _read_incarnation(name):
    """Return what follows the mark; a name of an earlier release may contain one."""
    _, _, incarnation = name.rpartition(INCARNATION_MARK)
    return incarnation if is_incarnation(incarnation) else ""


def _read_instance_name(name):
    incarnation = _read_incarnation(name)
    mark = INCARNATION_MARK + incarnation if incarnation else ""
    return name.removeprefix(NAME_PREFIX).removesuffix(mark)
