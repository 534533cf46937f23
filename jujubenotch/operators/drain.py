"""Drains upstreams, and ends their drains."""

import logging
import uuid

from jujubenotch.logs import log_event
from jujubenotch.operators.apply import read_document
from jujubenotch.operators.dependencies import OperatorDependencies
from jujubenotch.operators.documents import DrainRequest, DrainResponse
from jujubenotch.operators.errors import ConflictingDrainError, NotKnownError
from jujubenotch.records import (
    Accepted,
    ChangeRefusal,
    ChangeRequest,
    Conflict,
    Deletion,
    Drain,
    InvalidRecords,
    Record,
    RecordEdit,
    RecordKey,
    RecordKind,
    submit_change,
)

logger = logging.getLogger(__name__)


async def drain_upstream(
    dependencies: OperatorDependencies, name: str, body: bytes
) -> DrainResponse:
    """Stop sending new requests to an upstream, or send them again.

    The drain is stored as a record, so that it outlasts every instance.
    If the change of the record is refused, for instance because the platform is
    unavailable, this instance keeps the drain in memory and announces it to its
    peers.

    :param dependencies: The parts of the instance that the API uses.
    :param name: The name of the upstream.
    :param body: A :class:`DrainRequest` as JSON; an empty body starts a drain.
    :returns: The state of the drain.
    :raises MalformedDocumentError: The body is not a valid document.
    :raises NotKnownError: The records have no upstream of this name.
    :raises ConflictingDrainError: The change failed, for instance because another
        operator changed the same drain at the same time.
    """
    document = read_document(DrainRequest, body or b"{}")
    replica = dependencies.store.replica
    if name not in replica.configuration.upstreams:
        raise NotKnownError("no upstream of this name is in the records")
    refusal = await _change_record(dependencies.store, name, document)
    # A drain that is stored as a record need not be kept in memory, and the end of a
    # drain must remove it from memory.
    keeps_in_memory = document.is_draining and refusal is not None
    await dependencies.set_local_drain(name, keeps_in_memory)
    log_event(
        logger,
        logging.WARNING,
        "upstream-drained" if document.is_draining else "upstream-drain-ended",
        upstream=name,
        is_lasting=refusal is None,
    )
    return DrainResponse(
        upstream=name,
        is_draining=document.is_draining,
        is_lasting=refusal is None,
        revision=replica.revision,
        detail=refusal.detail if refusal else "",
    )


async def _change_record(store, name, document) -> ChangeRefusal | None:
    request = ChangeRequest(
        change_id=document.change_id or f"drain-{uuid.uuid4().hex}",
        edit=_make_edit(name, is_draining=document.is_draining),
    )
    result = await submit_change(store, request)
    if isinstance(result, Accepted):
        return None
    if isinstance(result, ChangeRefusal):
        return result
    is_drained = name in store.replica.configuration.drains
    if is_drained != document.is_draining:
        raise ConflictingDrainError(_describe_failure(result))
    return None


def _make_edit(name, *, is_draining):
    if is_draining:
        return RecordEdit(records=(Record(body=Drain(upstream=name)),))
    key = RecordKey(kind=RecordKind.DRAIN, name=name)
    return RecordEdit(deletions=(Deletion(key=key),))


def _describe_failure(result):
    if isinstance(result, Conflict):
        return "another operator changed the drain meanwhile; look and ask again"
    if isinstance(result, InvalidRecords):
        return str(result)
    return "the drain could not be changed"
