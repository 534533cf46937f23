"""The rows of claims and the typed messages about them."""

import asyncio
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from jujubenotch.claims.group import GroupWriter
from jujubenotch.outcomes import FailureReason, Outcome, RefusalReason
from jujubenotch.tables import Platform

CLAIMS_TABLE = "claims"
ATTEMPT_ID_BYTES = 16


class ClaimState(StrEnum):
    """How far the request behind a claim has come.

    ``RELEASED`` means that its owner never sent it and never will; such a row
    may be claimed anew.
    """

    CLAIMED = "claimed"
    COMPLETED = "completed"
    FAILED = "failed"
    UNKNOWN = "unknown"
    RELEASED = "released"


@dataclass(frozen=True, kw_only=True)
class RecordedAnswer:
    """The answer that repeats of a request get.

    :param headers: The headers that describe the body.
    :param is_streamed: Whether the body is the events of a stream.
    """

    outcome: Outcome
    status: int
    reason: FailureReason | RefusalReason | None = None
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    is_streamed: bool = False


@dataclass(frozen=True, kw_only=True)
class ClaimRow:
    """The value of a claim's row.

    :param attempt_id: The attempt that wrote it last.
    :param instance: The instance of that attempt.
    :param fingerprint: Digest of the request.
    :param expires_hour: Hours since 1970 after which the row is deleted.
    :param answer: What was recorded; ``None`` unless finished.
    :param object_name: Where the body is when it is too large for the row.
    """

    state: ClaimState
    attempt_id: str
    instance: str
    fingerprint: str
    expires_hour: int
    answer: RecordedAnswer | None = None
    object_name: str = ""


@dataclass(frozen=True, kw_only=True)
class ClaimRequest:
    """A keyed request that wants to be the one that is sent.

    :param fingerprint: Digest of the request, from ``digest_request``.
    :param deadline_s: When it must have ended, on the loop's clock.
    """

    team: str
    idempotency_key: str
    target: str
    fingerprint: str
    deadline_s: float


@dataclass(frozen=True, kw_only=True)
class Claim:
    """An attempt's hold on a row.

    :param version: The version that the row has with this claim.
    """

    row_key: str
    attempt_id: str
    fingerprint: str
    expires_hour: int
    version: int


@dataclass(frozen=True, kw_only=True)
class ClaimTaken:
    """The request is this attempt's to send, once."""

    claim: Claim


@dataclass(frozen=True, kw_only=True)
class ClaimFinished:
    """The request has run before; this is its recorded answer."""

    answer: RecordedAnswer


@dataclass(frozen=True, kw_only=True)
class ClaimHeld:
    """Another attempt holds the claim, and its outcome isn't recorded.

    :param retry_after_s: When to ask again, in seconds.
    """

    retry_after_s: float


@dataclass(frozen=True, kw_only=True)
class KeyReused:
    """The key belongs to another request of the team."""


@dataclass(frozen=True, kw_only=True)
class ClaimLimits:
    """Bounds in time and size.

    :param group_delay_s: How long writes are gathered, in seconds.
    :param group_writes: Writes of one transaction at most, as submissions.
    :param call_timeout_s: Bound of one call of the platform, in seconds.
    :param settle_tries: Tries to settle a lost reply before a request is
        refused.
    :param first_pause_s: Pause after the first failed try, in seconds; doubles
        with each.
    :param max_pause_s: Longest pause, in seconds.
    :param give_up_s: How long an outcome or a release is tried in the
        background, in seconds.
    :param retention_s: How long a key is remembered, in seconds.
    :param inline_body_bytes: Largest body that is kept in the row.
    """

    group_delay_s: float = 0.003
    group_writes: int = 64
    call_timeout_s: float = 3.0
    settle_tries: int = 4
    first_pause_s: float = 0.05
    max_pause_s: float = 2.0
    give_up_s: float = 300.0
    retention_s: float = 7 * 86_400.0
    inline_body_bytes: int = 16_384


@dataclass(kw_only=True)
class Claims:
    """The claims of one instance.

    :param instance: The instance's name.
    :param make_attempt_id: Makes an identifier that no other attempt has.
    :param read_unix_s: Reads the wall clock, for the expiry only.
    :param tasks: Outcomes and releases that are being recorded.

    >>> make_claims(platform=None, instance="a").instance
    'a'
    """

    platform: Platform
    instance: str
    limits: ClaimLimits
    writer: GroupWriter
    make_attempt_id: Callable[[], str]
    read_unix_s: Callable[[], float] = time.time
    tasks: set[asyncio.Task] = field(default_factory=set)


def make_claims(
    *,
    platform: Platform,
    instance: str,
    limits: ClaimLimits | None = None,
    make_attempt_id: Callable[[], str] | None = None,
    read_unix_s: Callable[[], float] = time.time,
) -> Claims:
    """Make the claims of an instance.

    :param platform: The client of the platform.
    :param instance: The instance's name.
    :param limits: Bounds in time and size.
    :param make_attempt_id: Makes an identifier that no other attempt has.
    :param read_unix_s: Reads the wall clock, in seconds.
    :returns: The claims.
    """
    limits = limits or ClaimLimits()
    writer = GroupWriter(
        platform=platform,
        delay_s=limits.group_delay_s,
        max_submissions=limits.group_writes,
        timeout_s=limits.call_timeout_s,
    )
    return Claims(
        platform=platform,
        instance=instance,
        limits=limits,
        writer=writer,
        make_attempt_id=make_attempt_id or _make_random_id,
        read_unix_s=read_unix_s,
    )


def _make_random_id():
    return secrets.token_hex(ATTEMPT_ID_BYTES)
