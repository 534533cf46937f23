"""Committed changes and snapshots of the configuration, and their encoding.

Decoding ignores unknown fields, so that instances of two releases can run at the
same time.
"""

import hashlib
from dataclasses import dataclass, field

import orjson
from pydantic import TypeAdapter, ValidationError

from jujubenotch.records.errors import RecordsError
from jujubenotch.records.record import (
    KIND_BY_BODY_TYPE,
    RecordBody,
    RecordKey,
    RecordKind,
    get_record_key,
)

MAX_REVISION = 10**20 - 1
_BODY_TYPE_BY_KIND = {kind: body for body, kind in KIND_BY_BODY_TYPE.items()}
_BODY_ADAPTER_BY_KIND = {
    kind: TypeAdapter(body_type) for kind, body_type in _BODY_TYPE_BY_KIND.items()
}
_BODY_LIST_ADAPTER_BY_KIND = {
    kind: TypeAdapter(list[body_type]) for kind, body_type in _BODY_TYPE_BY_KIND.items()
}


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordRevision:
    """The revision of a record; it is kept after the record is deleted.

    :param revision: The global revision of the last change of the record.
    :param changes: The number of changes of the record, which is also the
        version of its row in the table service.
    """

    revision: int
    changes: int


NEVER_CHANGED = RecordRevision(revision=0, changes=0)


@dataclass(frozen=True, kw_only=True)
class Change:
    """One committed change of the configuration.

    :param revision: The global revision that the change created.
    :param change_id: The id that the operator chose for the change.
    :param puts: The records that were added or replaced.
    :param deletes: The keys of the records that were deleted.

    >>> from jujubenotch.records.model import Team
    >>> Change(revision=1, change_id="a", puts=(Team(name="agents"),)).keys
    (RecordKey(kind=<RecordKind.TEAM: 'team'>, name='agents'),)
    """

    revision: int
    change_id: str
    puts: tuple[RecordBody, ...] = ()
    deletes: tuple[RecordKey, ...] = ()

    @property
    def keys(self) -> tuple[RecordKey, ...]:
        """Return the keys of all records that the change puts or deletes."""
        return (*(get_record_key(body) for body in self.puts), *self.deletes)


@dataclass(frozen=True, kw_only=True)
class Snapshot:
    """All records at one revision.

    :param revision: The global revision.
    :param bodies: All records.
    :param record_revisions: The revision of each record ever changed, including
        deleted ones.
    """

    revision: int
    bodies: tuple[RecordBody, ...]
    record_revisions: dict[RecordKey, RecordRevision] = field(default_factory=dict)


def encode_change(change: Change) -> bytes:
    """Encode a change.

    :param change: The change.
    :returns: The change as JSON.
    """
    return orjson.dumps(
        {
            "type": "change",
            "revision": change.revision,
            "change_id": change.change_id,
            "puts": [_pack_body(body) for body in change.puts],
            "deletes": list(change.deletes),
        }
    )


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encode a snapshot.

    :param snapshot: The snapshot.
    :returns: The snapshot as JSON.
    """
    bodies = {kind.value: [] for kind in RecordKind}
    for body in snapshot.bodies:
        bodies[KIND_BY_BODY_TYPE[type(body)]].append(body)
    revisions = {kind.value: [] for kind in RecordKind}
    for key, entry in snapshot.record_revisions.items():
        revisions[key.kind].append([key.name, entry.revision, entry.changes])
    return orjson.dumps(
        {
            "type": "snapshot",
            "revision": snapshot.revision,
            "bodies": bodies,
            "record_revisions": revisions,
        }
    )


def decode_entry(content: bytes) -> Change | Snapshot:
    """Decode a change or a snapshot.

    :param content: Bytes from :func:`encode_change` or :func:`encode_snapshot`.
    :returns: The change or snapshot.
    :raises RecordsError: The bytes are neither a change nor a snapshot.
    """
    try:
        values = orjson.loads(content)
        if values["type"] == "change":
            return _unpack_change(values)
        if values["type"] == "snapshot":
            return _unpack_snapshot(values)
    except (
        ValidationError,
        ValueError,
        LookupError,
        TypeError,
        AttributeError,
    ) as error:
        raise RecordsError(f"not a change of the records: {error!r}") from error
    raise RecordsError(f"{values['type']!r} is neither a change nor a snapshot")


def digest_records(puts: tuple[RecordBody, ...], deletes: tuple[RecordKey, ...]) -> str:
    """Return a digest of the contents of a change, independent of their order.

    :param puts: The records to put.
    :param deletes: The keys of the records to delete.
    :returns: The SHA-256 digest in hexadecimal.
    """
    ordered_puts = sorted(puts, key=get_record_key)
    packed = [_pack_body(body) for body in ordered_puts]
    content = orjson.dumps([packed, sorted(deletes)])
    return hashlib.sha256(content).hexdigest()


def _pack_body(body):
    return {"kind": get_record_key(body).kind, "body": body}


def _unpack_body(values):
    kind = RecordKind(values["kind"])
    return _BODY_ADAPTER_BY_KIND[kind].validate_python(values["body"])


def _unpack_change(values):
    deletes = tuple(
        RecordKey(kind=RecordKind(key["kind"]), name=str(key["name"]))
        for key in values["deletes"]
    )
    return Change(
        revision=_validate_revision(values["revision"]),
        change_id=str(values["change_id"]),
        puts=tuple(_unpack_body(body) for body in values["puts"]),
        deletes=deletes,
    )


def _unpack_snapshot(values):
    bodies = []
    for kind, entries in values["bodies"].items():
        bodies += _BODY_LIST_ADAPTER_BY_KIND[RecordKind(kind)].validate_python(entries)
    revisions = {}
    for kind, entries in values["record_revisions"].items():
        revisions |= _unpack_revisions(RecordKind(kind), entries)
    return Snapshot(
        revision=_validate_revision(values["revision"]),
        bodies=tuple(bodies),
        record_revisions=revisions,
    )


def _unpack_revisions(kind, entries):
    # Records with equal revisions and change counts share one ``RecordRevision``, which
    # saves memory.
    shared_entries = {}
    revisions = {}
    for name, revision, changes in entries:
        key = RecordKey(kind=kind, name=str(name))
        entry = RecordRevision(revision=int(revision), changes=int(changes))
        revisions[key] = shared_entries.setdefault(entry, entry)
    return revisions


def _validate_revision(value):
    if type(value) is not int or not 0 < value <= MAX_REVISION:
        raise ValueError(f"{value!r} is not a revision")
    return value
