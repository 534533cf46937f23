"""Takes, renews and hands over the lease on calls to the platform's API."""

import asyncio
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from jujubenotch.leases import CloudApi, LeaseTerms, Tenure


@dataclass(kw_only=True)
class LeaseWatch:
    """What an instance knows of the lease.

    :param name: The name of this instance, which its calls state as the holder.
    :param api: The platform's API; calls of a token that may no longer be used are
        not sent but return ``NOT_DONE``. ``None`` without one.
    :param holder_address: The endpoint of the present holder; empty when unknown.
    :param records: The rows of the table other than the lease, as read at take-over
        and changed by confirmed writes since.
    :param tenure_began: Set while this instance holds the lease and has read the
        records; cleared at the end of the tenure.
    """

    name: str
    api: CloudApi | None = None
    terms: LeaseTerms = field(default_factory=LeaseTerms)
    holder_address: str = ""
    tenure: Tenure | None = None
    records: dict[str, bytes] = field(default_factory=dict)
    tenure_began: asyncio.Event = field(default_factory=asyncio.Event)


def find_token(watch: LeaseWatch, now_s: float) -> int | None:
    """Return the fencing token if this instance may call the API now.

    :param watch: The state of the lease.
    :param now_s: The present time by the clock that counts suspended time
        (``read_boot_clock_s``), in seconds.
    :returns: The token; ``None`` when no call may be made.
    """
    return None


def find_call_timeout_s(watch: LeaseWatch, now_s: float) -> float:
    """Return the longest time that a call to the API that begins now may take.

    :param watch: The state of the lease.
    :param now_s: The present time by the clock that counts suspended time.
    :returns: The time in seconds; 0 when no call may be made.
    """
    return 0.0


async def refresh_token(watch: LeaseWatch) -> int | None:
    """Take a fresh token under the same holder, which makes late calls stale.

    Where the API enforces no fencing, the lease is confirmed and the token stays, as
    a late call with the old token would then be a lower token than the API has seen.

    :param watch: The state of the lease; the tenure ends on failure.
    :returns: The token; ``None`` when the lease isn't confirmed.
    """
    return None


def end_tenure(watch: LeaseWatch, reason: str) -> None:
    """Stop acting under the lease, for instance after the API refused the token.

    :param watch: The state of the lease.
    :param reason: Why, for the log.
    """


async def write_records(
    watch: LeaseWatch, writes: Mapping[str, bytes], removals: Collection[str] = ()
) -> bool:
    """Write rows of the table in one transaction that renews the lease.

    :param watch: The state of the lease.
    :param writes: The values by key, at most 90 together with the removals.
    :param removals: The keys of rows to remove.
    :returns: Whether the write was confirmed in the era of the tenure. When it
        wasn't, the rows may still have been written, or may be written later as long
        as the lease isn't changed otherwise.
    """
    return False
