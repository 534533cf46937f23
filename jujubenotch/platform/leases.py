"""Keeps the lease on calls to the platform's API in a row of the platform's store."""

import base64
import binascii
import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import Annotated, Literal

import orjson
from pydantic import BaseModel, ConfigDict, Field, FiniteFloat, ValidationError

from jujubenotch.forwarding import SourceError
from jujubenotch.leases import Lease, LeaseRow, WriteResult
from jujubenotch.platform.store import OK, RowsDocument, StoreClient, exchange
from jujubenotch.platform.units import MS_PER_S

LEASE_TABLE = "leases"
LEASE_KEY = "platform"
PART = ""
PRECONDITION_FAILED = 412
READ_PATH = "/v1/rows-get"
WRITE_PATH = "/v1/rows-tx"
# A release that changes the value so that this one would misread it changes the number.
VALUE_VERSION = 1
# Larger numbers could not be encoded once they have been incremented.
MAX_NUMBER = 2**60

Number = Annotated[int, Field(ge=0, le=MAX_NUMBER)]


class _LeaseDocument(BaseModel):
    """The value of the row; fields that a later release adds are ignored."""

    model_config = ConfigDict(extra="ignore", strict=True)

    version: Literal[1]
    holder: str
    nonce: str
    address: str = ""
    token: Annotated[int, Field(ge=0, le=4 * MAX_NUMBER)]
    era: Number
    serial: Number = 0
    is_released: bool = False
    revisions: list[Number] = []


class _WrittenDocument(BaseModel):
    revision: Number = Field(alias="schema-version")
    now_ms: FiniteFloat = Field(alias="now-ms")


@dataclass(frozen=True, kw_only=True)
class StoreLeases:
    """The lease's row and the records that are written under it.

    :param client: The client of the store.
    """

    client: StoreClient

    async def read_lease(self) -> LeaseRow:
        """Read the lease's row.

        :raises SourceError: The store did not return a valid response.
        """
        document = await self._read({"from": LEASE_KEY, "limit": "1"})
        return _find_lease(READ_PATH, document)

    async def read_records(self) -> tuple[int, dict[str, bytes]]:
        """Read all rows of the table but the lease's.

        :returns: The era of the store and the values by key.
        :raises SourceError: The store did not return a valid response, or was
            restored between two parts of it.
        """
        document = await self._read({})
        rows, era = list(document.rows), document.era
        while document.has_more and document.rows:
            after = document.rows[-1].key + "\0"
            document = await self._read({"from": after})
            if document.era != era:
                raise SourceError(
                    f"{READ_PATH}: the store changed from era {era} to {document.era} "
                    f"between two parts of table {LEASE_TABLE}"
                )
            rows += document.rows
        return era, {
            row.key: _decode_value(row)
            for row in rows
            if row.key != LEASE_KEY and not row.deleted
        }

    async def write(
        self,
        lease: Lease,
        expected_revision: int,
        writes: Mapping[str, bytes],
        removals: Collection[str],
    ) -> WriteResult:
        """Write the lease and records at once, if the lease's row is unchanged.

        :param lease: The lease.
        :param expected_revision: The revision of the lease's row; 0 for none.
        :param writes: The values of the records to write, by key.
        :param removals: The keys of the records to remove.
        :raises SourceError: The store did not state whether it executed the write.
        """
        values = {LEASE_KEY: encode_lease(lease), **writes}
        body = {
            "expected-rev": [
                {**_address_row(LEASE_KEY), "schema-version": expected_revision}
            ],
            "writes": [
                {**_address_row(key), "value": base64.b64encode(value).decode()}
                for key, value in values.items()
            ],
            "remove": [_address_row(key) for key in removals],
        }
        status, era, content = await exchange(
            self.client, "POST", WRITE_PATH, json=body
        )
        if status == PRECONDITION_FAILED:
            row = decode_lease_row(WRITE_PATH, era, content)
            return WriteResult(is_written=False, row=row)
        _check_status(WRITE_PATH, status)
        try:
            written = _WrittenDocument.model_validate(orjson.loads(content))
        except ValueError as error:
            raise SourceError(f"{WRITE_PATH}: the response is invalid") from error
        row = LeaseRow(
            lease=lease,
            revision=written.revision,
            store_time_s=written.now_ms / MS_PER_S,
            era=era,
        )
        return WriteResult(is_written=True, row=row)

    async def _read(self, parameters):
        parameters = {"table": LEASE_TABLE, "part": PART, **parameters}
        status, era, content = await exchange(
            self.client, "GET", READ_PATH, params=parameters
        )
        _check_status(READ_PATH, status)
        return _decode_rows(READ_PATH, era, content)


def encode_lease(lease: Lease) -> bytes:
    """Encode the value of the lease's row.

    :param lease: The lease.
    """
    return orjson.dumps(
        {
            "version": VALUE_VERSION,
            "holder": lease.holder,
            "nonce": lease.nonce,
            "address": lease.address,
            "token": lease.token,
            "era": lease.era,
            "serial": lease.serial,
            "is_released": lease.is_released,
            "revisions": list(lease.revisions),
        }
    )


def decode_lease(content: bytes) -> Lease | None:
    """Decode the value of the lease's row.

    :param content: The value.
    :returns: The lease; ``None`` when the value is invalid or of another version.
    """
    try:
        document = _LeaseDocument.model_validate(orjson.loads(content))
    except (ValidationError, ValueError):
        return None
    fields = document.model_dump(exclude={"version", "revisions"})
    return Lease(**fields, revisions=tuple(document.revisions))


def _address_row(key):
    return {"table": LEASE_TABLE, "part": PART, "key": key}


def _check_status(path, status):
    if status != OK:
        raise SourceError(
            f"{path}: the store answered with status {status} instead of {OK}"
        )


def _decode_rows(path, era, content):
    try:
        document = RowsDocument.model_validate(orjson.loads(content))
    except ValueError as error:
        raise SourceError(
            f"{path}: the store returned an invalid response for table {LEASE_TABLE}"
        ) from error
    document.era = era
    return document


def decode_lease_row(path: str, era: int, content: bytes) -> LeaseRow:
    """Decode a response that lists the lease's row, if there is one.

    :param path: The path of the call.
    :param era: The era of the store.
    :param content: The body of the response.
    :raises SourceError: The response is invalid.
    """
    return _find_lease(path, _decode_rows(path, era, content))


def _find_lease(path, document):
    """Return the lease's row; the first row may be another one when it is absent."""
    rows = [row for row in document.rows if row.key == LEASE_KEY and not row.deleted]
    revision = rows[0].revision if rows else 0
    if not 0 <= revision <= MAX_NUMBER or not math.isfinite(document.now_ms):
        raise SourceError(
            f"{path}: the store answered with revision {revision} at the time "
            f"{document.now_ms}"
        )
    return LeaseRow(
        lease=decode_lease(_decode_value(rows[0])) if rows else None,
        revision=revision,
        store_time_s=document.now_ms / MS_PER_S,
        era=document.era,
    )


def _decode_value(row):
    try:
        return base64.b64decode(row.value, validate=True)
    except (binascii.Error, ValueError):
        return b""
