"""Catches a replica up with the platform."""

import logging
from dataclasses import dataclass

from jujubenotch.logs import log_event
from jujubenotch.records.change import Change, Snapshot, decode_entry
from jujubenotch.records.errors import RecordsError
from jujubenotch.records.replica import (
    ConfigurationReplica,
    apply_change,
    apply_snapshot,
)
from jujubenotch.records.tables import (
    CHANGES_TABLE,
    HEAD_KEY,
    HEAD_TABLE,
    SNAPSHOT_KEY,
    decode_row,
    write_change_key,
)
from jujubenotch.tables import Platform

logger = logging.getLogger(__name__)


@dataclass(frozen=True, kw_only=True)
class Head:
    """The newest committed revision.

    :param revision: The global revision; 0 before the first change.
    :param version: The version of its row; 0 when there is no row yet.
    """

    revision: int
    version: int


async def poll(replica: ConfigurationReplica, platform: Platform) -> Head:
    """Put in force what the platform holds and the replica lacks.

    While the platform can't be reached the configuration in force stays.

    :param replica: The replica.
    :param platform: The platform.
    :returns: The newest committed revision.
    :raises PlatformError: The platform can't be reached.
    :raises RecordsError: A row is not what this program writes.
    """
    head = await read_head(platform)
    if head.revision < replica.revision:
        # A peer may tell of a change sooner than this read was answered.
        log_event(
            logger,
            logging.DEBUG,
            "configuration-head-behind",
            head=head.revision,
            revision=replica.revision,
        )
    if head.revision - replica.revision > replica.snapshot_lag_changes:
        await _load_snapshot(replica, platform)
    if head.revision > replica.revision:
        await _apply_later_changes(replica, platform)
    return head


async def read_head(platform: Platform) -> Head:
    """Read the newest committed revision.

    :param platform: The platform.
    :returns: The revision and its row's version.
    :raises PlatformError: The platform can't be reached.
    :raises RecordsError: The row is not what this program writes.
    """
    row = await platform.read(HEAD_TABLE, HEAD_KEY)
    if row is None:
        return Head(revision=0, version=0)
    revision = decode_row(row.value).get("revision")
    if type(revision) is not int:
        raise RecordsError("the head's row names no revision")
    return Head(revision=revision, version=row.version)


async def _apply_later_changes(replica, platform):
    after_key = write_change_key(replica.revision)
    for row in await platform.scan(CHANGES_TABLE, after_key):
        change = decode_entry(row.value)
        if not isinstance(change, Change):
            raise RecordsError(f"row {row.key} holds no change")
        apply_change(replica, change)


async def _load_snapshot(replica, platform):
    row = await platform.read(HEAD_TABLE, SNAPSHOT_KEY)
    if row is None:
        return
    pointer = decode_row(row.value)
    content = await platform.get_object(str(pointer.get("object")))
    if content is None:
        return
    try:
        snapshot = decode_entry(content)
    except RecordsError as error:
        # The changes themselves are all kept, so that a wrong snapshot costs
        # time only.
        log_event(logger, logging.WARNING, "snapshot-unreadable", error=error)
        return
    if isinstance(snapshot, Snapshot):
        apply_snapshot(replica, snapshot)
