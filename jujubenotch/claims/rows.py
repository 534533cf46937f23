"""Reads and writes claims' rows, with bounded tries."""

import asyncio

from jujubenotch.claims.codec import encode_row
from jujubenotch.claims.errors import ClaimsUnavailableError
from jujubenotch.claims.model import (
    CLAIMS_TABLE,
    Claim,
    ClaimLimits,
    ClaimRow,
    Claims,
    ClaimState,
    RecordedAnswer,
)
from jujubenotch.tables import PlatformError, Row, Write

EXPIRY_TABLE_PREFIX = "claims-expiry-"


def name_expiry_table(hour: int) -> str:
    """Name the table that lists the claims which expire in an hour.

    :param hour: Hours since 1970.
    :returns: The table's name.
    """
    return f"{EXPIRY_TABLE_PREFIX}{hour}"


def find_pause_s(limits: ClaimLimits, tries: int) -> float:
    """Find how long to pause before the next try.

    :param limits: The bounds.
    :param tries: Tries made so far.
    :returns: Seconds.
    """
    # The exponent is bounded so that a long outage can't overflow it.
    return min(limits.max_pause_s, limits.first_pause_s * 2 ** min(tries, 30))


async def read_row(claims: Claims, row_key: str, tries: int) -> Row | None:
    """Read a claim's row.

    :param claims: The claims.
    :param row_key: The row's key.
    :param tries: How often to try.
    :returns: The row; ``None`` when there is none.
    :raises ClaimsUnavailableError: No try got an answer.
    """
    for made in range(tries):
        try:
            async with asyncio.timeout(claims.limits.call_timeout_s):
                return await claims.platform.read(CLAIMS_TABLE, row_key)
        except (PlatformError, TimeoutError):
            if made + 1 < tries:
                await asyncio.sleep(find_pause_s(claims.limits, made))
    raise ClaimsUnavailableError(f"no answer to {tries} reads of a claim")


def write_first_rows(
    claims: Claims, claim: Claim, state: ClaimState
) -> tuple[Write, Write]:
    """Write the row of a new attempt, and list it by its expiry.

    :param claims: The claims.
    :param claim: The attempt's claim; its version is the one after the write.
    :param state: ``CLAIMED``, or ``RELEASED`` to keep an older write out.
    :returns: Writes that belong into one transaction.
    """
    listed = Write(
        table=name_expiry_table(claim.expires_hour),
        key=f"{claim.row_key}-{claim.attempt_id}",
        value=b"",
        expected_version=0,
    )
    expected_version = claim.version - 1
    return (_write_row(claims, claim, state, expected_version), listed)


def write_next_row(
    claims: Claims,
    claim: Claim,
    state: ClaimState,
    answer: RecordedAnswer | None = None,
    object_name: str = "",
) -> Write:
    """Write what follows on an attempt's own claim.

    :param claims: The claims.
    :param claim: The claim.
    :param state: The next state.
    :param answer: What is recorded.
    :param object_name: Where its body is kept; empty when in the row.
    :returns: The write.
    """
    version = claim.version
    return _write_row(claims, claim, state, version, answer, object_name)


def _write_row(claims, claim, state, expected_version, answer=None, object_name=""):
    row = ClaimRow(
        state=state,
        attempt_id=claim.attempt_id,
        instance=claims.instance,
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
