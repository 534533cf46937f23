"""Admission control: decides which request runs next and on which upstream.

Combines queues by tier, reserved slots for urgent tiers and fair shares among
teams.

Errors: none; a refusal is returned as a value. Features: ``features/admission``.
"""

from jujubenotch.admission.grants import grant_ready
from jujubenotch.admission.pool import (
    configure_pool,
    enqueue,
    make_pool,
    mark_leaving,
    record_load,
    refuse_unservable,
    release_grant,
    restore_grant,
    withdraw,
)
from jujubenotch.admission.state import Pool, RefusedRequest
from jujubenotch.admission.summary import compute_next_wakeup_s, summarise
from jujubenotch.work import (
    Grant,
    LoadReport,
    PoolSummary,
    WorkReport,
    WorkRequest,
    WorkResult,
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
    "compute_next_wakeup_s",
    "configure_pool",
    "enqueue",
    "grant_ready",
    "make_pool",
    "mark_leaving",
    "record_load",
    "refuse_unservable",
    "release_grant",
    "restore_grant",
    "summarise",
    "withdraw",
]
