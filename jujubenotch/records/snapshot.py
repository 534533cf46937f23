"""Stores snapshots of the configuration, from which new instances start."""

import asyncio
import logging

from jujubenotch.logs import log_event
from jujubenotch.records.change import encode_snapshot
from jujubenotch.records.errors import RecordsError
from jujubenotch.records.replica import ConfigurationReplica, make_snapshot
from jujubenotch.records.storage_layout import (
    HEAD_TABLE,
    SNAPSHOT_KEY,
    decode_row,
    encode_row,
    format_snapshot_name,
)
from jujubenotch.tables import PlatformClient, PlatformError, Write

logger = logging.getLogger(__name__)


async def store_snapshot(
    replica: ConfigurationReplica, platform: PlatformClient, *, interval_changes: int
) -> None:
    """Store a snapshot of the replica, unless a newer one is already stored.

    A failure is only logged, because a later snapshot makes up for it. The row
    that names the newest snapshot never returns to an older one.

    :param replica: The replica, at a committed revision.
    :param platform: The platform.
    :param interval_changes: The number of changes between two snapshots.
    """
    snapshot = make_snapshot(replica)
    object_name = format_snapshot_name(snapshot.revision // interval_changes)
    try:
        pointer_row = await platform.read(HEAD_TABLE, SNAPSHOT_KEY)
        if (
            pointer_row
            and decode_row(pointer_row.value)["revision"] >= snapshot.revision
        ):
            return
        content = await asyncio.to_thread(encode_snapshot, snapshot)
        await platform.put_object(object_name, content)
        write = Write(
            table=HEAD_TABLE,
            key=SNAPSHOT_KEY,
            value=encode_row(revision=snapshot.revision, object=object_name),
            expected_version=pointer_row.version if pointer_row else 0,
        )
        await platform.transact([write])
    except (PlatformError, RecordsError) as error:
        log_event(
            logger,
            logging.WARNING,
            "snapshot-not-stored",
            revision=snapshot.revision,
            error=error,
        )
