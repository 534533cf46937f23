"""Keeps the versions of services and the origins of streams as objects of the store.

Objects don't raise the store's revision. A record is its object's name, which is never
written with another meaning, so a call that is executed late does no harm.
"""

import base64
import binascii
from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict, Field

from jujubenotch.forwarding import HistoryLostError, SourceError
from jujubenotch.platform.directory import OBJECT_CONTENT, SEPARATOR, NamesDocument
from jujubenotch.platform.errors import DecodeError
from jujubenotch.platform.store import (
    UPSTREAM_TABLE,
    StoreClient,
    TableSource,
    call_store,
)
from jujubenotch.streams import (
    BatchName,
    StreamObjects,
    StreamOrigin,
    VersionRecord,
    VersionRegistration,
)

NAME_PREFIX = "stream-"
RECORD_PREFIX = "stream-version"
BATCH_PREFIX = "stream-origins"
# Releases without registrations leave out objects of this name.
REGISTRATION_PREFIX = "stream-registration"
# Bounds the times and eras in object names; valid ones are far smaller.
MAX_NUMBER = 2**53

StreamObject = VersionRecord | VersionRegistration | BatchName


class OriginsDocument(BaseModel):
    """The requests that began streams at one version of a service.

    :param requests: The requests that brought the first event.
    """

    model_config = ConfigDict(extra="ignore", strict=True)

    service: str
    version: str
    requests: list[str]


class BatchDocument(BaseModel):
    """The content of the object of a batch."""

    model_config = ConfigDict(extra="ignore", strict=True)

    origins: list[OriginsDocument] = Field(default_factory=list)


@dataclass(frozen=True, kw_only=True)
class StoreStreamRecords:
    """The records and the batches of origins: one object of the store for each.

    :param client: The client of the store.
    """

    client: StoreClient

    async def list_objects(self) -> StreamObjects:
        """Return all records, all registrations and the names of all batches.

        :raises SourceError: The store did not return a valid response.
        """
        found = {VersionRecord: [], VersionRegistration: [], BatchName: []}
        for name in await self._list_names():
            try:
                identity = decode_name(name)
            except DecodeError:
                # Another release may write further kinds of objects.
                continue
            found[type(identity)].append(identity)
        return StreamObjects(
            records=tuple(found[VersionRecord]),
            batches=tuple(found[BatchName]),
            registrations=tuple(found[VersionRegistration]),
        )

    async def _list_names(self):
        names = []
        parameters = {"prefix": NAME_PREFIX}
        while True:
            content = await call_store(
                self.client, "GET", "/v1/blob-list", params=parameters
            )
            try:
                document = NamesDocument.model_validate_json(content)
            except ValueError as error:
                raise SourceError(f"the list of names is invalid: {error}") from error
            names += document.names
            if not document.has_more or not document.names:
                return names
            if document.names[-1] <= parameters.get("since-rev", ""):
                raise SourceError("the list of names goes back")
            parameters["since-rev"] = document.names[-1]

    async def write_record(self, record: VersionRecord) -> None:
        """Write a record.

        :param record: The record.
        :raises SourceError: The store did not confirm it.
        """
        await self._put(record, OBJECT_CONTENT)

    async def write_registration(self, registration: VersionRegistration) -> None:
        """Register a version.

        :param registration: The registration.
        :raises SourceError: The store did not confirm it.
        """
        await self._put(registration, OBJECT_CONTENT)

    async def write_batch(
        self, name: BatchName, origins: dict[str, StreamOrigin]
    ) -> None:
        """Write a batch, whatever it contained before.

        :param name: The batch.
        :param origins: Its origins, by request.
        :raises SourceError: The store did not confirm it.
        """
        await self._put(name, encode_origins(origins))

    async def _put(self, identity, content):
        path = f"/v1/blob-put/{encode_name(identity)}"
        await call_store(self.client, "PUT", path, data=content)

    async def read_batch(self, name: BatchName) -> dict[str, StreamOrigin]:
        """Return the origins of a batch, by request.

        :param name: The batch.
        :raises SourceError: The store did not return a valid response.
        """
        path = f"/v1/blob-get/{encode_name(name)}"
        content = await call_store(self.client, "GET", path)
        try:
            return decode_origins(content)
        except DecodeError as error:
            raise SourceError(f"{path}: {error}") from error

    async def remove(self, identity: StreamObject) -> None:
        """Remove a record, a registration or a batch.

        :param identity: The record, the registration or the name of the batch.
        :raises SourceError: The store did not confirm it.
        """
        path = f"/v1/blob-drop/{encode_name(identity)}"
        await call_store(self.client, "DELETE", path)

    async def has_lost_upstreams(self) -> bool:
        """Return whether an upstream has left the list since the store began.

        The changes since the first revision show each entry that was removed.

        :raises SourceError: The store did not return a valid response.
        """
        source = TableSource(
            client=self.client,
            table=UPSTREAM_TABLE,
            decode=lambda key, content: content,
            accepts=lambda key: True,
        )
        try:
            page = await source.read_changes(0, 0.0, lambda: None)
        except HistoryLostError:
            return True
        # A response that holds a part of the changes ends before the newest one.
        is_complete = bool(page.items) and not page.has_more
        return not is_complete or any(item.is_removed for item in page.items)


def encode_name(identity: StreamObject) -> str:
    """Encode a record, a registration or a batch as the name of its object.

    :param identity: The record, the registration or the name of the batch.
    """
    if isinstance(identity, BatchName):
        parts = (BATCH_PREFIX, identity.era, identity.begun_s, identity.number)
        return SEPARATOR.join(map(str, (*parts, _encode_text(identity.writer))))
    if isinstance(identity, VersionRegistration):
        kind, time_s = REGISTRATION_PREFIX, identity.registered_s
    else:
        kind, time_s = RECORD_PREFIX, identity.listed_s
    texts = (_encode_text(identity.service), _encode_text(identity.software_version))
    return SEPARATOR.join(map(str, (kind, identity.era, time_s, *texts)))


def decode_name(name: str) -> StreamObject:
    """Decode the name of an object.

    :param name: The name.
    :raises DecodeError: The name is no record, no registration and no batch.
    """
    try:
        kind, era, time_s, third, text = name.split(SEPARATOR)
        if kind == BATCH_PREFIX:
            return BatchName(
                era=_decode_number(era),
                begun_s=_decode_number(time_s),
                number=_decode_number(third),
                writer=_decode_text(text),
            )
        if kind == RECORD_PREFIX:
            return VersionRecord(
                era=_decode_number(era),
                listed_s=_decode_number(time_s),
                service=_decode_text(third),
                software_version=_decode_text(text),
            )
        if kind == REGISTRATION_PREFIX:
            return VersionRegistration(
                era=_decode_number(era),
                registered_s=_decode_number(time_s),
                service=_decode_text(third),
                software_version=_decode_text(text),
            )
    except ValueError as error:
        raise DecodeError(f"the name {name!r} of an object is invalid") from error
    raise DecodeError(f"the name {name!r} of an object is unknown")


def _encode_text(text):
    return base64.urlsafe_b64encode(text.encode()).decode().rstrip("=")


def _decode_text(text):
    padded = text + "=" * (-len(text) % 4)
    try:
        return base64.b64decode(padded, altchars=b"-_", validate=True).decode()
    except binascii.Error as error:
        raise ValueError(f"{text!r} is not base64") from error


def _decode_number(text):
    number = int(text)
    if not -MAX_NUMBER < number < MAX_NUMBER:
        raise ValueError(f"{number} is out of range")
    return number


def encode_origins(origins: dict[str, StreamOrigin]) -> bytes:
    """Encode the origins of a batch.

    :param origins: The origins, by request.
    """
    requests = {}
    for request_id, origin in origins.items():
        requests.setdefault(origin, []).append(request_id)
    document = BatchDocument(
        origins=[
            OriginsDocument(
                service=origin.service, version=origin.software_version, requests=each
            )
            for origin, each in requests.items()
        ]
    )
    return document.model_dump_json().encode()


def decode_origins(content: bytes) -> dict[str, StreamOrigin]:
    """Decode the origins of a batch.

    :param content: The content of its object.
    :raises DecodeError: The content is invalid.
    """
    try:
        document = BatchDocument.model_validate_json(content)
    except ValueError as error:
        raise DecodeError("the content of a batch of origins is invalid") from error
    return {
        request_id: StreamOrigin(service=each.service, software_version=each.version)
        for each in document.origins
        for request_id in each.requests
    }
