"""Decides which instance may make the calls that only one may make at a time.

One row of the platform's store holds the lease; it is changed by compare-and-set.
All decisions are functions of what was read and the present time.

Errors: none. Features: ``features/leases``.
"""

from jujubenotch.leases.model import (
    ApiResult,
    CloudApi,
    Duty,
    Lease,
    LeaseRow,
    LeaseStore,
    LeaseTerms,
    Tenure,
    UpstreamOrder,
    WriteOutcome,
    WriteResult,
)

__all__ = [
    "ApiResult",
    "CloudApi",
    "Duty",
    "Lease",
    "LeaseRow",
    "LeaseStore",
    "LeaseTerms",
    "Tenure",
    "UpstreamOrder",
    "WriteOutcome",
    "WriteResult",
]
