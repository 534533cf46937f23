"""Encodes messages to neighbours as datagrams, and joins the datagrams again."""

import base64
import struct
import zlib
from dataclasses import asdict, dataclass, field, replace
from typing import Annotated

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from jujubenotch.neighbours.model import (
    Message,
    MessageItem,
    MessageKind,
    PaceEntry,
    StreamEntry,
    VersionEntry,
)
from jujubenotch.neighbours.report_codec import (
    ReportsDocument,
    decode_reports,
    encode_reports,
)

# Identifies the format; a release that changes the format changes these bytes.
MAGIC = b"J1"
HEADER = struct.Struct("!2sQBB")
# Fits into one packet of a network with an MTU of 1,280 bytes.
MAX_PART_BYTES = 1100
# A reader sends each message to all neighbours. A larger message would occupy its
# link for a large part of a second.
MAX_PARTS = 6
MAX_MESSAGE_BYTES = 1 << 20
PART_LIFETIME_S = 2.0
MAX_PARTIAL_MESSAGES = 64
CONVERTED_FIELDS = {
    "kind",
    "items",
    "streams",
    "request_ids",
    "lease_revisions",
    "paces",
    "reports",
    "versions",
}

Number = Annotated[int, Field(ge=0)]


class MessageError(Exception):
    """A datagram is not a valid part of a message."""


class _ItemDocument(BaseModel):
    model_config = ConfigDict(extra="ignore", strict=True)

    key: str
    content: str = ""
    is_removed: bool = False
    revision: Number = 0


class _StreamDocument(BaseModel):
    model_config = ConfigDict(extra="ignore", strict=True)

    request_id: str
    service: str
    software_version: str


class _VersionDocument(BaseModel):
    model_config = ConfigDict(extra="ignore", strict=True)

    service: str
    software_version: str


class _PaceDocument(BaseModel):
    model_config = ConfigDict(extra="ignore", strict=True)

    service: str
    upstream: str
    sums: list[float] = []
    load: int | None = None
    pace: float | None = None
    age_s: float = 0.0


class _MessageDocument(BaseModel):
    """A message; fields that a later release adds are ignored."""

    model_config = ConfigDict(extra="ignore", strict=True)

    kind: str
    era: Number = 0
    after_revision: Number = 0
    revision: Number = 0
    changed_revision: Number = 0
    store_time_s: float = 0.0
    list_revision: Number = 0
    crash_revision: Number = 0
    lease_revisions: list[Number] = []
    follows_outage: bool = False
    is_complete: bool = True
    items: list[_ItemDocument] = []
    streams: list[_StreamDocument] = []
    request_ids: list[str] = []
    wants_versions: bool = False
    versions: list[_VersionDocument] | None = None
    reports: ReportsDocument | None = None
    paces: list[_PaceDocument] = []
    has_totals: bool = False
    short_counts: dict[str, Number] = {}


@dataclass(kw_only=True)
class _PartialMessage:
    received_s: float
    parts: dict[int, bytes] = field(default_factory=dict)


@dataclass(kw_only=True)
class Reassembly:
    """The messages of which only some datagrams have arrived."""

    messages: dict[tuple[str, int], _PartialMessage] = field(default_factory=dict)


def split_message(message: Message, message_id: int) -> list[bytes] | None:
    """Encode a message as datagrams.

    :param message: The message.
    :param message_id: A number below 2**64 that this sender has not used recently.
    :returns: The datagrams; ``None`` when the message is too large.
    """
    document = asdict(replace(message, reports=()))
    del document["reports"]
    if message.reports:
        document["reports"] = encode_reports(message.reports)
    for item in document["items"]:
        item["content"] = base64.b64encode(item["content"]).decode()
    if not message.lease_revisions:
        # A site without the lease sends what it sent before there was one.
        del document["lease_revisions"]
    if not message.wants_versions:
        del document["wants_versions"]
    if message.versions is None:
        del document["versions"]
    if message.kind is not MessageKind.PACES:
        # Other messages stay as they are where no upstream reports its pace.
        for name in ("paces", "has_totals", "short_counts"):
            del document[name]
    content = zlib.compress(orjson.dumps(document))
    starts = range(0, len(content), MAX_PART_BYTES)
    if len(starts) > MAX_PARTS:
        return None
    return [
        HEADER.pack(MAGIC, message_id, number, len(starts))
        + content[start : start + MAX_PART_BYTES]
        for number, start in enumerate(starts)
    ]


def join_datagram(
    reassembly: Reassembly, sender: str, datagram: bytes, now_s: float
) -> bytes | None:
    """Add a datagram to its message.

    :param reassembly: The incomplete messages; changed in place.
    :param sender: The address of the sender.
    :param datagram: The datagram.
    :param now_s: The present monotonic time, in seconds.
    :returns: The content of the message when it is complete, else ``None``.
    :raises MessageError: The datagram has no valid header.
    """
    message_id, number, count = _read_header(datagram)
    part = datagram[HEADER.size :]
    if count == 1:
        return part
    _drop_old(reassembly, now_s)
    key = (sender, message_id)
    partial = reassembly.messages.setdefault(key, _PartialMessage(received_s=now_s))
    partial.parts[number] = part
    if len(partial.parts) < count:
        return None
    del reassembly.messages[key]
    return b"".join(partial.parts[number] for number in sorted(partial.parts))


def decode_message(content: bytes) -> Message:
    """Decode the content of a message.

    :param content: The joined datagrams.
    :returns: The message.
    :raises MessageError: The content is not a message of a known kind.
    """
    try:
        document = _MessageDocument.model_validate(orjson.loads(_decompress(content)))
        return Message(
            **document.model_dump(exclude=CONVERTED_FIELDS),
            kind=MessageKind(document.kind),
            items=tuple(_decode_item(item) for item in document.items),
            streams=tuple(
                StreamEntry(**entry.model_dump()) for entry in document.streams
            ),
            request_ids=tuple(document.request_ids),
            versions=_decode_versions(document.versions),
            reports=decode_reports(document.reports),
            lease_revisions=tuple(document.lease_revisions),
            paces=tuple(_decode_pace(entry) for entry in document.paces),
        )
    except (ValidationError, ValueError, zlib.error) as error:
        raise MessageError(f"the message is invalid: {error}") from error


def _read_header(datagram):
    if len(datagram) < HEADER.size:
        raise MessageError(f"a datagram of {len(datagram)} bytes has no header")
    magic, message_id, number, count = HEADER.unpack_from(datagram)
    if magic != MAGIC:
        raise MessageError(f"a datagram begins with {magic!r} instead of {MAGIC!r}")
    if not number < count <= MAX_PARTS:
        raise MessageError(f"a datagram is part {number} of {count}")
    return message_id, number, count


def _drop_old(reassembly, now_s):
    messages = reassembly.messages
    for key, partial in list(messages.items()):
        if now_s - partial.received_s > PART_LIFETIME_S:
            del messages[key]
    while len(messages) >= MAX_PARTIAL_MESSAGES:
        del messages[next(iter(messages))]


def _decompress(content):
    decompressor = zlib.decompressobj()
    text = decompressor.decompress(content, MAX_MESSAGE_BYTES)
    if not decompressor.eof:
        raise ValueError(f"it is cut off or larger than {MAX_MESSAGE_BYTES} bytes")
    return text


def _decode_versions(documents):
    if documents is None:
        return None
    return tuple(VersionEntry(**each.model_dump()) for each in documents)


def _decode_pace(document):
    return PaceEntry(**document.model_dump(exclude={"sums"}), sums=tuple(document.sums))


def _decode_item(document):
    return MessageItem(
        key=document.key,
        content=base64.b64decode(document.content, validate=True),
        is_removed=document.is_removed,
        revision=document.revision,
    )
