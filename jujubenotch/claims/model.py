"""The data types of claims: rows, requests, results, limits and shared state."""

import asyncio
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from jujubenotch.claims.group import GroupWriter
from jujubenotch.outcomes import FailureReason, Outcome, RefusalReason
from jujubenotch.tables import PlatformClient

CLAIMS_TABLE = "claims"
ATTEMPT_ID_BYTES = 16


class ClaimState(StrEnum):
    """The state of the request that a claim's row describes.

    ``CLAIMED`` means that an attempt holds the claim and may have sent the
    request. ``RELEASED`` means that the attempt did not send the request and
    never will; such a row can be claimed again.
    """

    CLAIMED = "claimed"
    COMPLETED = "completed"
    FAILED = "failed"
    UNKNOWN = "unknown"
    RELEASED = "released"


@dataclass(frozen=True, kw_only=True)
class RecordedAnswer:
    """The recorded answer of a request, returned to repeats of the request.

    :param headers: The headers that describe the body.
    :param is_streamed: Whether the body consists of the events of a stream.
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

    :param state: The state of the request.
    :param attempt_id: The attempt that last wrote the row.
    :param instance: The instance that runs this attempt.
    :param fingerprint: The digest of the request.
    :param expires_hour: The hour, counted from the start of 1970, in which the
        row expires; the row is deleted after it.
    :param answer: The recorded answer; ``None`` until the request has ended.
    :param object_name: The name of the object that holds the body of the
        answer; empty if the body is in the row.
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
    """A request with an idempotency key, for which a claim is sought.

    :param team: The name of the caller's team.
    :param idempotency_key: The idempotency key that the caller chose.
    :param target: The model or plain service that the request is for.
    :param fingerprint: The digest of the request, from ``digest_request``.
    :param deadline_s: When the request must have ended, in seconds on the event
        loop's clock.
    """

    team: str
    idempotency_key: str
    target: str
    fingerprint: str
    deadline_s: float


@dataclass(frozen=True, kw_only=True)
class Claim:
    """The claim of one attempt on a key's row.

    :param row_key: The key of the row.
    :param attempt_id: The id of the attempt.
    :param fingerprint: The digest of the attempt's request.
    :param expires_hour: The hour, counted from the start of 1970, in which the
        row expires.
    :param version: The version of the row once the claim is written.
    """

    row_key: str
    attempt_id: str
    fingerprint: str
    expires_hour: int
    version: int


@dataclass(frozen=True, kw_only=True)
class ClaimTaken:
    """The attempt holds the claim and may send the request once."""

    claim: Claim


@dataclass(frozen=True, kw_only=True)
class ClaimFinished:
    """The request has ended before; its answer was recorded."""

    answer: RecordedAnswer


@dataclass(frozen=True, kw_only=True)
class ClaimHeld:
    """An earlier request with the key is running or may have run.

    Its outcome isn't recorded.

    :param retry_after_s: How long to wait before repeating the request, in
        seconds.
    """

    retry_after_s: float


@dataclass(frozen=True, kw_only=True)
class KeyReused:
    """The team has already used the key for a different request."""


@dataclass(frozen=True, kw_only=True)
class ClaimLimits:
    """The time and size limits of claims.

    :param group_delay_s: How long writes are collected before a transaction is
        started, in seconds.
    :param group_writes: The maximum number of submissions in a transaction.
    :param call_timeout_s: The timeout of one call to the platform, in seconds.
    :param settle_tries: How often the row is read to find out what a write
        without a clear result has done, before the attempt gives up.
    :param first_pause_s: The pause after the first failed try, in seconds; it
        doubles with each further try.
    :param max_pause_s: The longest pause between tries, in seconds.
    :param give_up_s: How long recording an outcome or a release is tried in the
        background, in seconds.
    :param retention_s: How long a key is remembered after it was claimed, in
        seconds.
    :param inline_body_bytes: The largest body that is stored in the row, in
        bytes; larger ones go to the object store.
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
class ClaimStore:
    """The shared state with which one instance takes and ends claims.

    :param platform: The client of the platform.
    :param instance: The instance's name.
    :param limits: The time and size limits.
    :param writer: Batches the writes to the claims' rows.
    :param make_attempt_id: Returns an id that no other attempt has.
    :param read_unix_s: Reads the wall clock, in seconds; used for expiry only.
    :param tasks: The tasks that record outcomes and releases in the background.

    >>> make_claim_store(platform=None, instance="a").instance
    'a'
    """

    platform: PlatformClient
    instance: str
    limits: ClaimLimits
    writer: GroupWriter
    make_attempt_id: Callable[[], str]
    read_unix_s: Callable[[], float] = time.time
    tasks: set[asyncio.Task] = field(default_factory=set)


def make_claim_store(
    *,
    platform: PlatformClient,
    instance: str,
    limits: ClaimLimits | None = None,
    make_attempt_id: Callable[[], str] | None = None,
    read_unix_s: Callable[[], float] = time.time,
) -> ClaimStore:
    """Make the shared state with which an instance takes and ends claims.

    :param platform: The client of the platform.
    :param instance: The instance's name.
    :param limits: The time and size limits; ``None`` for the default limits.
    :param make_attempt_id: Returns an id that no other attempt has; ``None``
        for random ids.
    :param read_unix_s: Reads the wall clock, in seconds.
    :returns: The instance's claim store.
    """
    limits = limits or ClaimLimits()
    writer = GroupWriter(
        platform=platform,
        delay_s=limits.group_delay_s,
        max_submissions=limits.group_writes,
        timeout_s=limits.call_timeout_s,
    )
    return ClaimStore(
        platform=platform,
        instance=instance,
        limits=limits,
        writer=writer,
        make_attempt_id=make_attempt_id or _make_random_id,
        read_unix_s=read_unix_s,
    )


def _make_random_id():
    return secrets.token_hex(ATTEMPT_ID_BYTES)
