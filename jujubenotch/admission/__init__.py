"""Which request runs next, and where: queues, reserves and fair shares.

Errors: none; a refusal is a value. Features: ``features/admission``.
"""

from jujubenotch.admission.model import (
    Grant,
    LoadReport,
    WorkReport,
    WorkRequest,
    WorkResult,
)
from jujubenotch.admission.pool import (
    Pool,
    PoolSummary,
    RefusedRequest,
    configure_pool,
    enqueue,
    expire,
    grant_ready,
    make_pool,
    mark_leaving,
    next_wakeup_s,
    record_load,
    release,
    restore,
    summarise,
    withdraw,
)

__all__ = [
    "Grant",
    "LoadReport",
    "Pool",
    "PoolSummary",
    "RefusedRequest",
    "WorkReport",
    "WorkRequest",
    "WorkResult",
    "configure_pool",
    "enqueue",
    "expire",
    "grant_ready",
    "make_pool",
    "mark_leaving",
    "next_wakeup_s",
    "record_load",
    "release",
    "restore",
    "summarise",
    "withdraw",
]
