"""Names and encodings of the configuration in the table service and object store."""

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
SNAPSHOT_NAME_COUNT = 8
_REVISION_DIGITS = len(str(MAX_REVISION))


def format_change_key(revision: int) -> str:
    """Return the row key of a change; row keys sort in the order of the revisions.

    :param revision: The global revision of the change.
    :returns: The row key.
    """
    return f"{revision:0{_REVISION_DIGITS}d}"


def format_record_key(key: RecordKey) -> str:
    """Return the row key of a record.

    :param key: The key of the record.
    :returns: The row key.
    """
    return str(key)


def format_snapshot_name(sequence_number: int) -> str:
    """Return the name of the object that holds a snapshot.

    A fixed set of names is reused in rotation, because the object store has no
    delete operation.

    :param sequence_number: The sequence number of the snapshot.
    :returns: The name of the object.
    """
    return f"configuration-snapshot-{sequence_number % SNAPSHOT_NAME_COUNT}"


def encode_row(**fields: str | int) -> bytes:
    """Encode the value of a row.

    :param fields: The fields of the row.
    :returns: The fields as a JSON object.
    """
    return orjson.dumps(fields)


def decode_row(content: bytes) -> dict[str, str | int]:
    """Decode the value of a row.

    :param content: A value that :func:`encode_row` returned.
    :returns: The fields of the row.
    :raises RecordsError: The value is not a JSON object.
    """
    try:
        values = orjson.loads(content)
    except orjson.JSONDecodeError as error:
        raise RecordsError(f"not a row of the configuration: {error}") from error
    if not isinstance(values, dict):
        raise RecordsError("not a row of the configuration")
    return values
