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
    choose_links,
    find_leaving_upstreams,
    is_live,
    list_first_hand_leaving,
    list_known,
    list_live,
)
from jujubenotch.membership.rendezvous import choose_by_rendezvous
from jujubenotch.membership.update import (
    drain_upstream,
    forget_members,
    record_heard,
    record_incarnation,
    record_list,
    record_lost,
    record_seeds,
    record_upstream_report,
)

__all__ = [
    "LOST_AFTER_S",
    "Member",
    "Membership",
    "UpstreamStatus",
    "choose_by_rendezvous",
    "choose_links",
    "drain_upstream",
    "find_leaving_upstreams",
    "forget_members",
    "is_live",
    "list_first_hand_leaving",
    "list_known",
    "list_live",
    "record_heard",
    "record_incarnation",
    "record_list",
    "record_lost",
    "record_seeds",
    "record_upstream_report",
]
