"""Where the configuration stands in the table service and the object store."""

import orjson

from jujubenotch.records.change import MAX_REVISION
from jujubenotch.records.errors import RecordsError
from jujubenotch.records.record import RecordKey

HEAD_TABLE = "configuration"
HEAD_KEY = "head"
SNAPSHOT_KEY = "snapshot"
CHANGES_TABLE = "configuration-changes"
CHANGE_IDS_TABLE = "configuration-change-ids"
RECORDS_TABLE = "configuration-records"
SNAPSHOT_SLOTS = 8
_REVISION_DIGITS = len(str(MAX_REVISION))


def write_change_key(revision: int) -> str:
    """Return the key of a change's row, which sorts as the revisions do.

    :param revision: The change's global revision.
    :returns: The key.
    """
    return f"{revision:0{_REVISION_DIGITS}d}"


def write_record_key(key: RecordKey) -> str:
    """Return the key of a record's row.

    :param key: The record's key.
    :returns: The row's key.
    """
    return str(key)


def write_snapshot_name(number: int) -> str:
    """Return the name of the object that holds a snapshot.

    The names are used in turn, since the object store deletes nothing.

    :param number: Counts the snapshots.
    :returns: The object's name.
    """
    return f"configuration-snapshot-{number % SNAPSHOT_SLOTS}"


def encode_row(**fields: str | int) -> bytes:
    """Encode a row's value.

    :param fields: What the row says.
    :returns: JSON.
    """
    return orjson.dumps(fields)


def decode_row(content: bytes) -> dict[str, str | int]:
    """Decode a row's value.

    :param content: What :func:`encode_row` made.
    :returns: What the row says.
    :raises RecordsError: The bytes are not such a row.
    """
    try:
        values = orjson.loads(content)
    except orjson.JSONDecodeError as error:
        raise RecordsError(f"not a row of the configuration: {error}") from error
    if not isinstance(values, dict):
        raise RecordsError("not a row of the configuration")
    return values
