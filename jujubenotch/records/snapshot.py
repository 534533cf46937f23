"""Stores snapshots of the configuration, from which new instances start."""

import asyncio
import logging

from jujubenotch.logs import log_event
from jujubenotch.records.change import encode_snapshot
from jujubenotch.records.errors import RecordsError
from jujubenotch.records.replica import ConfigurationReplica, make_snapshot
from jujubenotch.records.tables import (
    HEAD_TABLE,
    SNAPSHOT_KEY,
    decode_row,
    encode_row,
    write_snapshot_name,
)
from jujubenotch.tables import Platform, PlatformError, Write

logger = logging.getLogger(__name__)


async def store_snapshot(
    replica: ConfigurationReplica, platform: Platform, *, every_changes: int
) -> None:
    """Store a snapshot of the replica, unless a newer one is already stored.

    A failure is logged only, because a later snapshot makes up for it. The row
    that names the newest snapshot never returns to an older one.

    :param replica: The replica, at a committed revision.
    :param platform: The platform.
    :param every_changes: The number of changes between two snapshots.
    """
    snapshot = make_snapshot(replica)
    name = write_snapshot_name(snapshot.revision // every_changes)
    try:
        pointer = await platform.read(HEAD_TABLE, SNAPSHOT_KEY)
        if pointer and decode_row(pointer.value)["revision"] >= snapshot.revision:
            return
        content = await asyncio.to_thread(encode_snapshot, snapshot)
        await platform.put_object(name, content)
        write = Write(
            table=HEAD_TABLE,
            key=SNAPSHOT_KEY,
            value=encode_row(revision=snapshot.revision, object=name),
            expected_version=pointer.version if pointer else 0,
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
