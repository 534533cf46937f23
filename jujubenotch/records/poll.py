"""Updates a replica with the changes committed on the platform."""

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
from jujubenotch.records.storage_layout import (
    CHANGES_TABLE,
    HEAD_KEY,
    HEAD_TABLE,
    SNAPSHOT_KEY,
    decode_row,
    format_change_key,
)
from jujubenotch.tables import PlatformClient

logger = logging.getLogger(__name__)


@dataclass(frozen=True, kw_only=True)
class ConfigurationHead:
    """The newest committed revision.

    :param revision: The global revision; 0 before the first change.
    :param version: The version of the head row; 0 if the row does not exist yet.
    """

    revision: int
    version: int


async def poll_platform(
    replica: ConfigurationReplica, platform: PlatformClient
) -> ConfigurationHead:
    """Apply the committed changes that the replica has not applied yet.

    If the platform can't be reached, the configuration in force stays
    unchanged.

    :param replica: The replica.
    :param platform: The platform.
    :returns: The newest committed revision.
    :raises PlatformError: The platform can't be reached.
    :raises RecordsError: A row can't be decoded.
    """
    head = await read_head(platform)
    if head.revision < replica.revision:
        # A peer may have delivered a newer change while this read was pending.
        log_event(
            logger,
            logging.DEBUG,
            "configuration-head-stale",
            head=head.revision,
            revision=replica.revision,
        )
    if head.revision - replica.revision > replica.snapshot_lag_changes:
        await _load_snapshot(replica, platform)
    if head.revision > replica.revision:
        await _apply_later_changes(replica, platform)
    return head


async def read_head(platform: PlatformClient) -> ConfigurationHead:
    """Read the newest committed revision.

    :param platform: The platform.
    :returns: The revision, and the version of the head row.
    :raises PlatformError: The platform can't be reached.
    :raises RecordsError: The head row can't be decoded.
    """
    row = await platform.read(HEAD_TABLE, HEAD_KEY)
    if row is None:
        return ConfigurationHead(revision=0, version=0)
    revision = decode_row(row.value).get("revision")
    if type(revision) is not int:
        raise RecordsError("the head's row names no revision")
    return ConfigurationHead(revision=revision, version=row.version)


async def _apply_later_changes(replica, platform):
    after_key = format_change_key(replica.revision)
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
        # The rows of all changes are kept, so an unreadable snapshot only makes
        # catching up slower.
        log_event(logger, logging.WARNING, "snapshot-unreadable", error=error)
        return
    if isinstance(snapshot, Snapshot):
        apply_snapshot(replica, snapshot)
