"""Applies the changes of records that operators request."""

import asyncio
from typing import TypeVar

from pydantic import BaseModel, ValidationError

from jujubenotch.operators.convert import convert_result
from jujubenotch.operators.dependencies import OperatorDependencies
from jujubenotch.operators.documents import (
    ApplyRequest,
    ApplyResponse,
)
from jujubenotch.operators.errors import MalformedDocumentError
from jujubenotch.outcomes import ChangeRefusalReason
from jujubenotch.records import (
    ChangeRefusal,
    ChangeRequest,
    Conflict,
    InvalidRecords,
    RecordKey,
    RecordKind,
    RecordsError,
    copy_replica,
    parse_documents,
    poll_platform,
    preview_change,
    submit_change,
)
from jujubenotch.tables import PlatformError

MAX_SHOWN_CHARACTERS = 60

Document = TypeVar("Document", bound=BaseModel)


async def apply_records(
    dependencies: OperatorDependencies, body: bytes
) -> ApplyResponse:
    """Change the records, or report what would change if ``dry_run`` is set.

    :param dependencies: The parts of the instance that the API uses.
    :param body: An :class:`ApplyRequest` as JSON.
    :returns: The result of the change.
    :raises MalformedDocumentError: The body is not a valid document.
    """
    try:
        document = await asyncio.to_thread(read_document, ApplyRequest, body)
        _check_file_names(document)
        expected = _read_expected_revisions(document)
    except MalformedDocumentError:
        dependencies.count_rejection(ChangeRefusalReason.MALFORMED)
        raise
    result = await _apply(dependencies, document, expected)
    if not document.dry_run:
        _count_rejection(dependencies, result)
    return convert_result(dependencies.store.replica, document.change_id, result)


def read_document(model: type[Document], body: bytes) -> Document:
    """Parse and validate a document that an operator sent.

    :param model: The model that the document must match.
    :param body: The document as JSON.
    :returns: The document.
    :raises MalformedDocumentError: The body does not match the model.
    """
    try:
        return model.model_validate_json(body)
    except ValidationError as error:
        details = error.errors(include_url=False, include_input=False)
        messages = [
            f"{'.'.join(map(str, detail['loc'])) or 'the body'}: {detail['msg']}"
            for detail in details
        ]
        raise MalformedDocumentError("; ".join(messages)) from error


async def _apply(dependencies, document, expected):
    texts = {file.name: file.text for file in document.files}
    edit = await asyncio.to_thread(parse_documents, texts)
    if isinstance(edit, InvalidRecords):
        return edit
    request = ChangeRequest(
        change_id=document.change_id,
        edit=edit,
        expected_revisions=expected,
        base_revision=document.base_revision,
    )
    store = dependencies.store
    if not document.dry_run:
        return await submit_change(store, request)
    try:
        await poll_platform(store.replica, store.platform)
    except (PlatformError, RecordsError):
        # Without the newest records from the platform, the preview compares with
        # the records that are in force at this instance.
        pass
    # The event loop may change the replica while the thread reads it, so the
    # thread reads a copy.
    replica_copy = copy_replica(store.replica)
    return await asyncio.to_thread(preview_change, replica_copy, request)


def _read_expected_revisions(document):
    return {
        _read_record_key(text): revision
        for text, revision in document.expected_revisions.items()
    }


def _read_record_key(text):
    kind, _, name = text.partition("/")
    try:
        return RecordKey(kind=RecordKind(kind), name=name)
    except ValueError as error:
        excerpt = text[:MAX_SHOWN_CHARACTERS]
        raise MalformedDocumentError(
            f"expected_revisions: {excerpt!r} is not kind/name of a record"
        ) from error


def _check_file_names(document):
    names = [file.name for file in document.files]
    if len(set(names)) < len(names):
        raise MalformedDocumentError("files: two files have the same name")


def _count_rejection(dependencies, result):
    if isinstance(result, InvalidRecords):
        dependencies.count_rejection(ChangeRefusalReason.INVALID)
    elif isinstance(result, Conflict):
        dependencies.count_rejection(ChangeRefusalReason.CONFLICT)
    elif isinstance(result, ChangeRefusal):
        dependencies.count_rejection(result.reason)
