"""Commits changes of the configuration on the platform.

A change is one transaction: a compare-and-set on the row of each affected record
and on the head row, and the insertion of a row for the change and of a row for
its id. After a lost reply, the row of the id shows whether the change was
committed; it also makes a repeat of the request idempotent at any later time.
"""

import asyncio
import logging
import random
from dataclasses import dataclass, field

from jujubenotch.logs import log_event
from jujubenotch.records.build import edit_configuration
from jujubenotch.records.change import (
    Change,
    digest_records,
    encode_change,
)
from jujubenotch.records.errors import RecordsError
from jujubenotch.records.poll import ConfigurationHead, poll_platform
from jujubenotch.records.preview import (
    drop_unchanged,
    find_conflict,
    find_expected_revisions,
    list_keys,
)
from jujubenotch.records.record import InvalidRecords, RecordEdit, RecordKey
from jujubenotch.records.refusals import (
    check_edit_size,
    refuse_after_races,
    refuse_reuse,
    refuse_unavailable,
    refuse_unsettled,
)
from jujubenotch.records.replica import (
    ConfigurationReplica,
    apply_change,
    read_record_revision,
)
from jujubenotch.records.results import (
    Accepted,
    ChangeRefusal,
    ChangeRequest,
    Conflict,
    Unchanged,
)
from jujubenotch.records.snapshot import store_snapshot
from jujubenotch.records.storage_layout import (
    CHANGE_IDS_TABLE,
    CHANGES_TABLE,
    HEAD_KEY,
    HEAD_TABLE,
    RECORDS_TABLE,
    decode_row,
    encode_row,
    format_change_key,
    format_record_key,
)
from jujubenotch.tables import (
    ConflictError,
    PlatformClient,
    PlatformError,
    ReplyLostError,
    Write,
)

MAX_ATTEMPTS = 12
MAX_FAILURES = 3
MAX_RACE_BACKOFF_S = 0.2
FAILURE_BACKOFF_S = 0.5
SNAPSHOT_INTERVAL_CHANGES = 500

logger = logging.getLogger(__name__)

ChangeResult = Accepted | Unchanged | Conflict | InvalidRecords | ChangeRefusal


@dataclass(kw_only=True)
class ConfigurationStore:
    """Commits the changes that operators submit to this instance, one at a time.

    :param platform: The platform.
    :param replica: The replica of this instance.
    :param snapshot_interval_changes: Number of changes between two stored snapshots.
    :param failure_backoff_s: Wait after the first failed call of the platform, in
        seconds; it grows with each failure, to outlast a short period in which
        the platform rejects writes because of its rate limit.
    :param lock: Held while a change is submitted.

    >>> store = ConfigurationStore(platform=None, replica=ConfigurationReplica())
    """

    platform: PlatformClient
    replica: ConfigurationReplica
    snapshot_interval_changes: int = SNAPSHOT_INTERVAL_CHANGES
    failure_backoff_s: float = FAILURE_BACKOFF_S
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)


@dataclass(kw_only=True)
class _Submission:
    """The state of one change over all attempts to commit it.

    :param expected: The revision that each record must have; it stays the same
        over all attempts.
    :param may_have_taken_effect: Whether the reply to an attempt was lost, so
        that this attempt may have been committed.
    """

    request: ChangeRequest
    digest: str
    expected: dict[RecordKey, int] = field(default_factory=dict)
    may_have_taken_effect: bool = False


async def submit_change(
    store: ConfigurationStore, request: ChangeRequest
) -> ChangeResult:
    """Commit a change and apply it to the replica of this instance.

    A concurrent change of other records is not a conflict: the change is
    retried on the new head, a bounded number of times.

    :param store: The store.
    :param request: The requested change.
    :returns: The result; only a refusal with reason ``UNSETTLED`` leaves open
        whether the change was committed.
    """
    deletes = tuple(deletion.key for deletion in request.edit.deletions)
    puts = tuple(record.body for record in request.edit.records)
    submission = _Submission(request=request, digest=digest_records(puts, deletes))
    async with store.lock:
        result = await _commit_with_retries(store, submission)
    log_event(
        logger,
        logging.INFO,
        "change-submitted",
        change_id=request.change_id,
        result=type(result).__name__,
        revision=store.replica.revision,
    )
    return result


async def _commit_with_retries(store, submission):
    refusal = refuse_after_races(MAX_ATTEMPTS)
    failures = 0
    for _ in range(MAX_ATTEMPTS):
        try:
            result = await _attempt_commit(store, submission)
        except (PlatformError, RecordsError) as error:
            failures += 1
            submission.may_have_taken_effect |= isinstance(error, ReplyLostError)
            refusal = refuse_unavailable(error)
            if failures == MAX_FAILURES:
                break
            await asyncio.sleep(failures * store.failure_backoff_s)
        else:
            if result is not None:
                return result
            await asyncio.sleep(random.uniform(0, MAX_RACE_BACKOFF_S))
    if submission.may_have_taken_effect:
        return refuse_unsettled()
    return refusal


async def _attempt_commit(store, submission) -> ChangeResult | None:
    """Try to commit on the current head; ``None`` if another change came first."""
    replica = store.replica
    head = await poll_platform(replica, store.platform)
    # The id must be read after the head: if a delayed write of an earlier attempt
    # takes effect after this read, it moves the head, and so this attempt fails.
    if earlier_result := await _find_earlier_result(store, submission):
        return earlier_result
    if head.revision != replica.revision:
        return None
    request = submission.request
    _fill_expected_revisions(replica, submission)
    if conflict := find_conflict(replica, request, submission.expected):
        return conflict
    edit = drop_unchanged(replica.configuration, request.edit)
    if not list_keys(edit):
        return Unchanged(revision=replica.revision)
    if problems := await _check_edit(replica.configuration, edit):
        return problems
    if replica.revision != head.revision:
        return None
    change = _make_change(request.change_id, edit, head.revision + 1)
    return await _commit_change(store, submission, head, change)


async def _find_earlier_result(store, submission):
    """Return the result if a change with this id is already committed, else None."""
    change_id = submission.request.change_id
    row = await store.platform.read(CHANGE_IDS_TABLE, change_id)
    if row is None:
        return None
    values = decode_row(row.value)
    if values.get("digest") != submission.digest:
        return refuse_reuse(change_id)
    return Accepted(
        revision=int(values["revision"]),
        change_id=change_id,
        is_repeated=not submission.may_have_taken_effect,
    )


async def _check_edit(configuration, edit) -> InvalidRecords | None:
    if too_large := check_edit_size(edit):
        return too_large
    # Validation covers the whole configuration; it runs in a thread because it
    # takes long for a large one.
    edited = await asyncio.to_thread(
        edit_configuration, configuration, edit, configuration.revision + 1
    )
    return edited if isinstance(edited, InvalidRecords) else None


def _fill_expected_revisions(replica, submission):
    expected_revisions = find_expected_revisions(replica, submission.request)
    for key, revision in expected_revisions.items():
        submission.expected.setdefault(key, revision)


async def _commit_change(store, submission, head, change):
    writes = _list_writes(store.replica, submission, head, change)
    try:
        await store.platform.transact(writes)
    except ConflictError:
        return None
    apply_change(store.replica, change)
    if change.revision % store.snapshot_interval_changes == 0:
        await store_snapshot(
            store.replica,
            store.platform,
            interval_changes=store.snapshot_interval_changes,
        )
    return Accepted(revision=change.revision, change_id=change.change_id)


def _make_change(change_id, edit: RecordEdit, revision) -> Change:
    return Change(
        revision=revision,
        change_id=change_id,
        puts=tuple(record.body for record in edit.records),
        deletes=tuple(deletion.key for deletion in edit.deletions),
    )


def _list_writes(
    replica, submission, head: ConfigurationHead, change: Change
) -> list[Write]:
    revision_value = encode_row(revision=change.revision)
    id_value = encode_row(revision=change.revision, digest=submission.digest)
    writes = [
        Write(
            table=HEAD_TABLE,
            key=HEAD_KEY,
            value=revision_value,
            expected_version=head.version,
        ),
        Write(
            table=CHANGES_TABLE,
            key=format_change_key(change.revision),
            value=encode_change(change),
            expected_version=0,
        ),
        Write(
            table=CHANGE_IDS_TABLE,
            key=change.change_id,
            value=id_value,
            expected_version=0,
        ),
    ]
    # The row of a deleted record is kept, so that its version never restarts.
    for key in change.keys:
        write = Write(
            table=RECORDS_TABLE,
            key=format_record_key(key),
            value=revision_value,
            expected_version=read_record_revision(replica, key).changes,
        )
        writes.append(write)
    return writes
