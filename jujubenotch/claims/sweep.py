"""Deletes expired claims, so that the table stays bounded.

The transaction that makes a claim also lists it in the table of the hour in
which it expires. The sweep reads one such table at a time, deletes what it
lists, and then moves on to the next hour; how far it has come is a row, so
that any instance can go on. Several sweepers at once only conflict.
"""

import asyncio
import logging
import random

from jujubenotch.claims.codec import decode_row
from jujubenotch.claims.errors import RowUnreadableError
from jujubenotch.claims.keys import find_hour
from jujubenotch.claims.model import CLAIMS_TABLE, Claims
from jujubenotch.claims.rows import name_expiry_table
from jujubenotch.logs import log_event
from jujubenotch.tables import ConflictError, PlatformError, Write

logger = logging.getLogger(__name__)

SWEEP_TABLE = "claims-sweep"
SWEEP_KEY = "next-hour"
SWEEP_INTERVAL_S = 600.0
SWEEP_JITTER_S = 300.0


async def run_sweeper(claims: Claims) -> None:
    """Sweep now and then until cancelled.

    :param claims: The claims.
    """
    while True:
        await asyncio.sleep(SWEEP_INTERVAL_S + random.uniform(0, SWEEP_JITTER_S))
        try:
            deleted = await sweep_hour(claims, claims.read_unix_s())
        except (PlatformError, TimeoutError) as error:
            log_event(
                logger,
                logging.WARNING,
                "claims-sweep-failed",
                error=type(error).__name__,
            )
        else:
            log_event(logger, logging.DEBUG, "claims-swept", deleted=deleted)


async def sweep_hour(claims: Claims, now_unix_s: float) -> int:
    """Delete the claims of the oldest hour that has passed.

    :param claims: The claims.
    :param now_unix_s: The present Unix time, in seconds.
    :returns: How many claims were deleted.
    :raises PlatformError: The platform doesn't do it now.
    """
    platform = claims.platform
    position = await platform.read(SWEEP_TABLE, SWEEP_KEY)
    now_hour = find_hour(now_unix_s)
    hour = int(position.value) if position else now_hour
    if hour >= now_hour and position is not None:
        return 0
    deleted = 0
    if position is not None:
        for listed in await platform.scan(name_expiry_table(hour)):
            deleted += await _delete_listed(claims, listed, hour)
    next_hour = hour + 1 if position else hour
    await _write_position(platform, position, next_hour)
    return deleted


async def _delete_listed(claims, listed, hour):
    row_key = listed.key.partition("-")[0]
    row = await claims.platform.read(CLAIMS_TABLE, row_key)
    writes = [_delete(listed)]
    is_expired = row is not None and _expires_by(row, hour)
    if is_expired:
        writes.append(_delete(row))
        await _empty_object(claims, row)
    try:
        await claims.platform.transact(writes)
    except ConflictError:
        # Another sweeper was here first, or the key was claimed anew.
        return 0
    return int(is_expired)


async def _empty_object(claims, row):
    object_name = decode_row(row.value).object_name
    if object_name:
        await claims.platform.put_object(object_name, b"")


async def _write_position(platform, position, hour):
    write = Write(
        table=SWEEP_TABLE,
        key=SWEEP_KEY,
        value=str(hour).encode(),
        expected_version=position.version if position else 0,
    )
    try:
        await platform.transact([write])
    except ConflictError:
        # Another sweeper has moved on already.
        return


def _expires_by(row, hour):
    try:
        return decode_row(row.value).expires_hour <= hour
    except RowUnreadableError:
        return False


def _delete(row):
    return Write(table=row.table, key=row.key, value=None, expected_version=row.version)
