"""Decides what a claim's row means for an attempt; no I/O, no clock."""

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
class Free:
    """The key may be claimed.

    :param version: The version that the write must expect; 0 inserts.
    """

    version: int


@dataclass(frozen=True, kw_only=True)
class Own:
    """The row is this very attempt's claim.

    :param version: The row's version.
    """

    version: int


@dataclass(frozen=True, kw_only=True)
class InProgress:
    """Another attempt holds the claim."""


@dataclass(frozen=True, kw_only=True)
class Finished:
    """The outcome is recorded."""

    row: ClaimRow


Verdict = Free | Own | InProgress | Finished | KeyReused


def judge_row(row: Row | None, fingerprint: str, attempt_id: str = "") -> Verdict:
    """Judge a key's row.

    :param row: The row; ``None`` when there is none.
    :param fingerprint: The digest of the request that asks.
    :param attempt_id: The attempt that asks; empty for a mere look.
    :returns: What it means. A row that can't be decoded counts as held, since
        nothing proves that its request never ran.
    """
    if row is None:
        return Free(version=0)
    try:
        found = decode_row(row.value)
    except RowUnreadableError:
        return InProgress()
    if found.state is ClaimState.RELEASED:
        return Free(version=row.version)
    if found.attempt_id == attempt_id:
        return Own(version=row.version)
    if found.fingerprint != fingerprint:
        return KeyReused()
    if found.state is ClaimState.CLAIMED:
        return InProgress()
    return Finished(row=found)
