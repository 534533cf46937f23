"""Deletes expired claims, so that the table of claims stays bounded.

The transaction that makes a claim also adds an entry for it to the expiry table
of the hour in which the claim expires. A sweep reads the expiry table of one
hour, deletes the claims listed there, and moves on to the next hour. The next
hour to sweep is stored in a row, so that any instance can continue. If several
instances sweep at the same time, their transactions conflict and do no harm.
"""

import asyncio
import logging
import random

from jujubenotch.claims.codec import decode_row
from jujubenotch.claims.errors import RowUnreadableError
from jujubenotch.claims.keys import compute_unix_hour
from jujubenotch.claims.model import CLAIMS_TABLE, ClaimStore
from jujubenotch.claims.rows import get_expiry_table_name
from jujubenotch.logs import log_event
from jujubenotch.tables import ConflictError, PlatformError, Write

logger = logging.getLogger(__name__)

SWEEP_TABLE = "claims-sweep"
SWEEP_KEY = "next-hour"
SWEEP_INTERVAL_S = 600.0
SWEEP_JITTER_S = 300.0


async def run_sweeper(claim_store: ClaimStore) -> None:
    """Sweep at intervals of 600 to 900 s until cancelled.

    :param claim_store: The instance's claim store.
    """
    while True:
        await asyncio.sleep(SWEEP_INTERVAL_S + random.uniform(0, SWEEP_JITTER_S))
        try:
            deleted = await sweep_hour(claim_store, claim_store.read_unix_s())
        except (PlatformError, TimeoutError) as error:
            log_event(
                logger,
                logging.WARNING,
                "expired-claims-not-deleted",
                error=type(error).__name__,
            )
        else:
            log_event(logger, logging.DEBUG, "expired-claims-deleted", deleted=deleted)


async def sweep_hour(claim_store: ClaimStore, now_unix_s: float) -> int:
    """Delete the claims that expired in the oldest hour not swept yet.

    Nothing is deleted if that hour is not over. The first sweep only stores the
    current hour as the first hour to sweep.

    :param claim_store: The instance's claim store.
    :param now_unix_s: The current Unix time, in seconds.
    :returns: The number of claims deleted.
    :raises PlatformError: A call to the platform failed.
    """
    platform = claim_store.platform
    position_row = await platform.read(SWEEP_TABLE, SWEEP_KEY)
    now_hour = compute_unix_hour(now_unix_s)
    hour = int(position_row.value) if position_row else now_hour
    if hour >= now_hour and position_row is not None:
        return 0
    deleted = 0
    if position_row is not None:
        for expiry_entry in await platform.scan(get_expiry_table_name(hour)):
            deleted += await _delete_expired_claim(claim_store, expiry_entry, hour)
    next_hour = hour + 1 if position_row else hour
    await _write_position(platform, position_row, next_hour)
    return deleted


async def _delete_expired_claim(claim_store, expiry_entry, hour):
    row_key = expiry_entry.key.partition("-")[0]
    row = await claim_store.platform.read(CLAIMS_TABLE, row_key)
    writes = [_make_deletion(expiry_entry)]
    is_expired = row is not None and _expires_by(row, hour)
    if is_expired:
        writes.append(_make_deletion(row))
        await _clear_object(claim_store, row)
    try:
        await claim_store.platform.transact(writes)
    except ConflictError:
        # Another instance has deleted the claim, or the key was claimed again.
        return 0
    return int(is_expired)


async def _clear_object(claim_store, row):
    """Replace the stored body of a claim's answer with an empty object."""
    object_name = decode_row(row.value).object_name
    if object_name:
        await claim_store.platform.put_object(object_name, b"")


async def _write_position(platform, position_row, hour):
    write = Write(
        table=SWEEP_TABLE,
        key=SWEEP_KEY,
        value=str(hour).encode(),
        expected_version=position_row.version if position_row else 0,
    )
    try:
        await platform.transact([write])
    except ConflictError:
        # Another instance has already moved on to the next hour.
        return


def _expires_by(row, hour):
    try:
        return decode_row(row.value).expires_hour <= hour
    except RowUnreadableError:
        return False


def _make_deletion(row):
    return Write(table=row.table, key=row.key, value=None, expected_version=row.version)
