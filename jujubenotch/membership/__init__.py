"""Which instances and upstreams are live or leaving, merged from all sources.

Errors: none. Features: ``features/membership``.
"""

from jujubenotch.membership.model import (
    LOST_AFTER_S,
    Member,
    Membership,
    UpstreamStatus,
)
from jujubenotch.membership.read import (
    choose_session_peers,
    find_leaving_upstreams,
    is_live,
    list_live_instances,
    list_own_leaving_reports,
    list_possibly_serving,
)
from jujubenotch.membership.rendezvous import choose_by_rendezvous
from jujubenotch.membership.update import (
    apply_platform_list,
    drain_upstream,
    drop_expired_members,
    record_disconnect,
    record_frame,
    record_incarnation,
    record_seeds,
    record_upstream_report,
)

__all__ = [
    "LOST_AFTER_S",
    "Member",
    "Membership",
    "UpstreamStatus",
    "apply_platform_list",
    "choose_by_rendezvous",
    "choose_session_peers",
    "drain_upstream",
    "drop_expired_members",
    "find_leaving_upstreams",
    "is_live",
    "list_live_instances",
    "list_own_leaving_reports",
    "list_possibly_serving",
    "record_disconnect",
    "record_frame",
    "record_incarnation",
    "record_seeds",
    "record_upstream_report",
]
