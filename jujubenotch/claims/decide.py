"""Decides what the current row of a key means for an attempt.

The decision depends on the arguments only: there is no I/O and no clock.
"""

from dataclasses import dataclass

from jujubenotch.claims.codec import decode_row
from jujubenotch.claims.errors import RowUnreadableError
from jujubenotch.claims.model import ClaimRow, ClaimState, KeyReused
from jujubenotch.outcomes import Outcome
from jujubenotch.tables import Row

STATE_BY_OUTCOME = {
    Outcome.COMPLETED: ClaimState.COMPLETED,
    Outcome.NOT_RUN: ClaimState.RELEASED,
    Outcome.FAILED: ClaimState.FAILED,
    Outcome.UNKNOWN: ClaimState.UNKNOWN,
}


@dataclass(frozen=True, kw_only=True)
class Claimable:
    """The key can be claimed.

    :param version: The version that the write must expect; 0 if there is no
        row yet.
    """

    version: int


@dataclass(frozen=True, kw_only=True)
class OwnClaim:
    """The row is the claim of the asking attempt itself.

    :param version: The row's version.
    """

    version: int


@dataclass(frozen=True, kw_only=True)
class InProgress:
    """Another attempt holds the claim, and no outcome is recorded."""


@dataclass(frozen=True, kw_only=True)
class Finished:
    """The request has ended, and the row records its outcome."""

    row: ClaimRow


RowStatus = Claimable | OwnClaim | InProgress | Finished | KeyReused


def classify_row(row: Row | None, fingerprint: str, attempt_id: str = "") -> RowStatus:
    """Decide what a key's row means for an attempt.

    :param row: The row; ``None`` if there is none.
    :param fingerprint: The digest of the attempt's request.
    :param attempt_id: The id of the attempt; empty for a look-up without an
        attempt.
    :returns: The meaning of the row. A row that can't be decoded counts as held
        by another attempt, since nothing proves that its request never ran.
    """
    if row is None:
        return Claimable(version=0)
    try:
        claim_row = decode_row(row.value)
    except RowUnreadableError:
        return InProgress()
    if claim_row.state is ClaimState.RELEASED:
        return Claimable(version=row.version)
    if claim_row.attempt_id == attempt_id:
        return OwnClaim(version=row.version)
    if claim_row.fingerprint != fingerprint:
        return KeyReused()
    if claim_row.state is ClaimState.CLAIMED:
        return InProgress()
    return Finished(row=claim_row)
