"""Data model of the lease on the calls that one instance at a time may make."""

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol


class ApiResult(StrEnum):
    """The result of a call to the platform's API.

    ``NOT_DONE`` means that nothing was executed; after ``UNKNOWN`` the call may have
    been executed, or may still be.
    """

    DONE = "done"
    CONFLICT = "conflict"
    LIMITED = "limited"
    NOT_DONE = "not-done"
    UNKNOWN = "unknown"


class Duty(StrEnum):
    """A kind of calls to the platform's API."""

    USAGE_REPORTING = "usage_reporting"
    AUTOSCALING = "autoscaling"


@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamOrder:
    """The number of upstreams that a service is to have in a data centre.

    :param count: The absolute number of upstreams of this kind.
    :param is_preemptible: Whether the platform may reclaim them.
    """

    service: str
    data_centre: str
    count: int
    is_preemptible: bool = False


class CloudApi(Protocol):
    """The platform's API; no method raises an error."""

    async def send_usage(
        self,
        window: int,
        counts: Mapping[str, int],
        holder: str,
        token: int,
        timeout_s: float,
    ) -> ApiResult:
        """Report the requests of each team in a window."""

    async def order_upstreams(
        self, order: UpstreamOrder, holder: str, token: int, timeout_s: float
    ) -> ApiResult:
        """Order upstreams of a service in a data centre."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Lease:
    """The value of the lease's row.

    :param holder: The name of the instance that wrote it.
    :param nonce: Identifies the process that wrote it.
    :param address: The address of the holder's endpoint; empty without one.
    :param token: The fencing token.
    :param era: The era of the store in which the holder took the lease.
    :param serial: Counts the writes that the process has attempted.
    :param is_released: Whether the holder has given the lease up.
    :param revisions: The revisions of the latest writes before this one.
    """

    holder: str
    nonce: str
    address: str
    token: int
    era: int
    serial: int
    is_released: bool = False
    revisions: tuple[int, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseRow:
    """The lease's row as the store returned it.

    :param lease: The value; ``None`` when there is no row or its value is invalid.
    :param revision: The revision of the row; 0 when there is none.
    :param store_time_s: The store's own clock, in seconds.
    :param era: The era of the store that returned it.
    """

    lease: Lease | None
    revision: int
    store_time_s: float
    era: int


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteResult:
    """The response to a conditional write.

    :param is_written: Whether the store executed it; otherwise its condition failed.
    :param row: The row after the write, or the row that made the store refuse it.
    """

    is_written: bool
    row: LeaseRow


class LeaseStore(Protocol):
    """Where the lease is kept; a call that isn't confirmed raises ``SourceError``."""

    async def read_lease(self) -> LeaseRow:
        """Read the lease's row."""

    async def read_records(self) -> tuple[int, dict[str, bytes]]:
        """Read the era of the store and all rows of the table but the lease's."""

    async def write(
        self,
        lease: Lease,
        expected_revision: int,
        writes: Mapping[str, bytes],
        removals: Collection[str],
    ) -> WriteResult:
        """Write the lease and records at once, if the lease's row is unchanged.

        :param expected_revision: The revision of the lease's row; 0 for none.
        """


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseTerms:
    """The times that the holder and the candidates keep.

    :param lease_s: The time after which an unchanged lease may be taken over.
    :param is_fenced: Whether the platform's API refuses lower tokens.
    """

    lease_s: float = 3.0
    is_fenced: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class SeenRow:
    """What a candidate has seen of the lease's row in one era of the store.

    :param row: The row as last returned.
    :param unchanged_since_s: The store's clock when the row was first returned with
        its revision.
    :param era_since_s: The store's clock in the first response of the era.
    :param read_s: When the last call was sent, by the clock that counts suspended
        time, in seconds.
    """

    row: LeaseRow
    unchanged_since_s: float
    era_since_s: float
    read_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """A write of the lease that this process has sent.

    :param lease: The value.
    :param expected_revision: The revision of the row on which it is conditional.
    :param sent_s: When it was sent, by the clock that counts suspended time.
    """

    lease: Lease
    expected_revision: int
    sent_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Tenure:
    """The time during which this instance holds the lease.

    :param token: The fencing token.
    :param era: The era of the store in which the lease was taken.
    :param sent_s: When the last confirmed write was sent, by the clock that counts
        suspended time, in seconds.
    """

    token: int
    era: int
    sent_s: float


class EndReason(StrEnum):
    """Why a tenure ended."""

    EXPIRED = "expired"
    LOST = "lost"
    ERA_CHANGED = "era-changed"
    REFRESH_FAILED = "refresh-failed"
    API_FAILING = "api-failing"
    HANDED_OVER = "handed-over"
    ERROR = "error"


@dataclass(kw_only=True)
class LeaseState:
    """What one process knows of the lease.

    :param name: The instance's name.
    :param nonce: Identifies the process.
    :param address: The address of the instance's endpoint; empty without one.
    :param last_act_s: The latest time at which this process may have called the API;
        the time of its start before the first tenure, as the instance's previous
        process may have held the lease until then.
    :param jitter: A draw from 0 to 1 that spreads the candidates.
    :param seen: The row as last seen; ``None`` before the first response.
    :param tenure: The tenure; ``None`` while this instance doesn't hold the lease.
    :param attempts: The writes that may still be executed, by their serial.
    :param serial: The serial of the last write.
    :param barred_until_s: This instance doesn't take the lease before this time.
    :param is_stopping: Whether this instance no longer takes the lease.
    :param is_read_wanted: Whether the row is read at the next opportunity, for
        instance to learn whether a write without a response was executed.
    :param failures: Consecutive calls to the store without a valid response.
    :param retry_s: After a failure, no call to the store is made before this time.
    :param failing_since_s: Since when no call to the API succeeded; ``None`` when the
        last one did.
    :param failed_s: When the last call to the API failed.
    :param unanswered_s: When the last call to the API without a response ended.
    """

    name: str
    nonce: str
    address: str
    terms: LeaseTerms
    last_act_s: float
    jitter: float
    seen: SeenRow | None = None
    tenure: Tenure | None = None
    attempts: dict[int, Attempt] = field(default_factory=dict)
    serial: int = 0
    barred_until_s: float = -math.inf
    is_stopping: bool = False
    is_read_wanted: bool = False
    failures: int = 0
    retry_s: float = -math.inf
    failing_since_s: float | None = None
    failed_s: float = -math.inf
    unanswered_s: float = -math.inf


class Step(StrEnum):
    """What an instance does next about the lease."""

    READ = "read"
    TAKE = "take"
    RENEW = "renew"
    RELEASE = "release"
    WAIT = "wait"
