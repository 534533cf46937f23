"""Group commit: batches writes submitted within a few ms into one transaction."""

import asyncio
import logging
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from jujubenotch.logs import log_event
from jujubenotch.tables import (
    ConflictError,
    PlatformClient,
    PlatformUnavailableError,
    Write,
)

logger = logging.getLogger(__name__)

MAX_CONCURRENT_TRANSACTIONS = 4


class WriteResult(StrEnum):
    """The result of a submission.

    ``REPLY_LOST`` means that the writes may have taken effect or may still take
    effect later.
    """

    APPLIED = "applied"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    REPLY_LOST = "reply-lost"


@dataclass(frozen=True, kw_only=True)
class Submission:
    """Writes that take effect together or not at all.

    :param result: Resolved with the :class:`WriteResult` of the writes.
    """

    writes: tuple[Write, ...]
    result: asyncio.Future


@dataclass(kw_only=True)
class GroupWriter:
    """Commits submissions to the table service in batches.

    :param delay_s: How long submissions are collected before a transaction is
        started, in seconds.
    :param max_submissions: The maximum number of submissions in a transaction.
    :param timeout_s: The timeout of a transaction, in seconds.
    :param pending: The submissions that wait for a transaction.
    :param commit_loop: The task that starts transactions; ``None`` while nothing
        is pending.
    :param commits_in_progress: The tasks of the transactions in progress.

    >>> writer = GroupWriter(
    ...     platform=None, delay_s=0.003, max_submissions=64, timeout_s=3.0
    ... )
    >>> writer.pending
    []
    """

    platform: PlatformClient
    delay_s: float
    max_submissions: int
    timeout_s: float
    pending: list[Submission] = field(default_factory=list)
    commit_loop: asyncio.Task | None = None
    commits_in_progress: set[asyncio.Task] = field(default_factory=set)


async def submit(writer: GroupWriter, writes: Sequence[Write]) -> WriteResult:
    """Commit writes in a transaction shared with other submissions.

    A conflict on a row of another submission doesn't fail these writes.

    :param writer: The writer.
    :param writes: Writes that take effect together or not at all.
    :returns: The result of the writes.
    """
    result = asyncio.get_running_loop().create_future()
    writer.pending.append(Submission(writes=tuple(writes), result=result))
    if writer.commit_loop is None:
        writer.commit_loop = asyncio.create_task(_run_commit_loop(writer))
    return await result


async def _run_commit_loop(writer):
    while writer.pending:
        await asyncio.sleep(writer.delay_s)
        while len(writer.commits_in_progress) >= MAX_CONCURRENT_TRANSACTIONS:
            await asyncio.wait(
                writer.commits_in_progress, return_when=asyncio.FIRST_COMPLETED
            )
        task = asyncio.create_task(_commit(writer, _take_group(writer)))
        writer.commits_in_progress.add(task)
        task.add_done_callback(writer.commits_in_progress.discard)
    writer.commit_loop = None


def _take_group(writer):
    group, remaining, seen_row_ids = [], [], set()
    for submission in writer.pending:
        row_ids = {(write.table, write.key) for write in submission.writes}
        # A transaction must not write the same row twice.
        if len(group) < writer.max_submissions and not row_ids & seen_row_ids:
            group.append(submission)
        else:
            remaining.append(submission)
        seen_row_ids |= row_ids
    writer.pending[:] = remaining
    return group


async def _commit(writer, group):
    while group:
        try:
            async with asyncio.timeout(writer.timeout_s):
                await writer.platform.transact(
                    [write for submission in group for write in submission.writes]
                )
        except ConflictError as error:
            group = _drop_conflicting(group, error)
            continue
        except PlatformUnavailableError:
            _resolve(group, WriteResult.UNAVAILABLE)
        except Exception as error:
            # After any other error the writes may have taken effect.
            _log_lost_reply(error)
            _resolve(group, WriteResult.REPLY_LOST)
        else:
            _resolve(group, WriteResult.APPLIED)
        return


def _drop_conflicting(group, error):
    """Resolve the submissions that write the conflicting row; return the others.

    If no submission writes that row, all are resolved as conflicting.
    """
    conflicting_row_id = (error.table, error.key)
    conflicting = [
        submission
        for submission in group
        if any(
            (write.table, write.key) == conflicting_row_id
            for write in submission.writes
        )
    ]
    if not conflicting:
        conflicting = group
    _resolve(conflicting, WriteResult.CONFLICT)
    return [submission for submission in group if submission not in conflicting]


def _resolve(group, result):
    for submission in group:
        if not submission.result.done():
            submission.result.set_result(result)


def _log_lost_reply(error):
    log_event(
        logger, logging.WARNING, "claim-write-unconfirmed", error=type(error).__name__
    )
