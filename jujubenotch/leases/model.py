"""Data model of the lease on the calls that one instance at a time may make."""

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
    :param revisions: The revisions of all writes that the row accounts for.
    """

    lease: Lease | None
    revision: int
    store_time_s: float
    era: int


class WriteOutcome(StrEnum):
    """The outcome of a conditional write as the store stated it."""

    WRITTEN = "written"
    REFUSED = "refused"


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteResult:
    """The response to a conditional write.

    :param row: The row after the write, or the row that made the store refuse it.
    """

    outcome: WriteOutcome
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


@dataclass(kw_only=True)
class Tenure:
    """The time during which this instance holds the lease.

    :param token: The fencing token.
    :param era: The era of the store in which the lease was taken.
    :param revision: The revision of the last confirmed write.
    :param sent_s: When the last confirmed write was sent, by the clock that counts
        suspended time, in seconds.
    """

    token: int
    era: int
    revision: int
    sent_s: float
    revisions: tuple[int, ...] = field(default_factory=tuple)
