"""Reads the rows of claims, and makes the writes that change them."""

import asyncio

from jujubenotch.claims.codec import encode_row
from jujubenotch.claims.errors import ClaimsUnavailableError
from jujubenotch.claims.model import (
    CLAIMS_TABLE,
    Claim,
    ClaimLimits,
    ClaimRow,
    ClaimState,
    ClaimStore,
    RecordedAnswer,
)
from jujubenotch.tables import PlatformError, Row, Write

EXPIRY_TABLE_PREFIX = "claims-expiry-"


def get_expiry_table_name(hour: int) -> str:
    """Return the name of the table that lists the claims expiring in an hour.

    :param hour: The hour, counted from the start of 1970.
    :returns: The table's name.
    """
    return f"{EXPIRY_TABLE_PREFIX}{hour}"


def compute_pause_s(limits: ClaimLimits, tries: int) -> float:
    """Compute the pause before the next try, with exponential back-off.

    :param limits: The limits.
    :param tries: How many times the first pause is doubled.
    :returns: The pause, in seconds.
    """
    # The exponent is limited so that the power can't overflow in a long outage.
    return min(limits.max_pause_s, limits.first_pause_s * 2 ** min(tries, 30))


async def read_row(claim_store: ClaimStore, row_key: str, tries: int) -> Row | None:
    """Read the row of a claim.

    :param claim_store: The instance's claim store.
    :param row_key: The key of the row.
    :param tries: The maximum number of tries.
    :returns: The row; ``None`` if it does not exist.
    :raises ClaimsUnavailableError: The platform answered none of the tries.
    """
    for failed_tries in range(tries):
        try:
            async with asyncio.timeout(claim_store.limits.call_timeout_s):
                return await claim_store.platform.read(CLAIMS_TABLE, row_key)
        except (PlatformError, TimeoutError):
            if failed_tries + 1 < tries:
                await asyncio.sleep(compute_pause_s(claim_store.limits, failed_tries))
    raise ClaimsUnavailableError(
        f"the platform answered none of {tries} tries to read row {row_key!r}"
    )


def make_first_writes(
    claim_store: ClaimStore, claim: Claim, state: ClaimState
) -> tuple[Write, Write]:
    """Make the writes for the row of a new attempt and for its expiry entry.

    :param claim_store: The instance's claim store.
    :param claim: The attempt's claim; its version is the one after the write.
    :param state: ``CLAIMED``, or ``RELEASED`` to make the table service reject a
        late write of the same attempt.
    :returns: The writes, which must be in one transaction.
    """
    expiry_entry = Write(
        table=get_expiry_table_name(claim.expires_hour),
        key=f"{claim.row_key}-{claim.attempt_id}",
        value=b"",
        expected_version=0,
    )
    expected_version = claim.version - 1
    return (_make_write(claim_store, claim, state, expected_version), expiry_entry)


def make_next_write(
    claim_store: ClaimStore,
    claim: Claim,
    state: ClaimState,
    answer: RecordedAnswer | None = None,
    object_name: str = "",
) -> Write:
    """Make the write that changes the state of an attempt's own claim.

    :param claim_store: The instance's claim store.
    :param claim: The claim.
    :param state: The new state.
    :param answer: The answer to record; ``None`` if there is none.
    :param object_name: The name of the object that holds the body of the
        answer; empty if the body is in the row.
    :returns: The write.
    """
    version = claim.version
    return _make_write(claim_store, claim, state, version, answer, object_name)


def _make_write(
    claim_store, claim, state, expected_version, answer=None, object_name=""
):
    row = ClaimRow(
        state=state,
        attempt_id=claim.attempt_id,
        instance=claim_store.instance,
        fingerprint=claim.fingerprint,
        expires_hour=claim.expires_hour,
        answer=answer,
        object_name=object_name,
    )
    return Write(
        table=CLAIMS_TABLE,
        key=claim.row_key,
        value=encode_row(row),
        expected_version=expected_version,
    )
