"""Which instances and upstreams are live or leaving, merged from all sources.

Instances that keep sessions with each other use ``Membership``; those that a store
lists, and that exchange datagrams, use ``Instances``.

Errors: none. Features: ``features/membership``.
"""

from jujubenotch.membership.instances import (
    GONE_AFTER_S,
    Instances,
    KnownInstance,
    ListedInstance,
    Liveness,
    add_instance,
    count_possible,
    count_sharing,
    find_gone,
    is_asking,
    is_incarnation,
    list_choosable,
    list_helpers,
    list_neighbours,
    list_possible,
    make_incarnation,
    record_heard,
    record_listed,
    request_answers,
    take_questions,
)
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
    "GONE_AFTER_S",
    "Instances",
    "KnownInstance",
    "LOST_AFTER_S",
    "ListedInstance",
    "Liveness",
    "Member",
    "Membership",
    "UpstreamStatus",
    "add_instance",
    "apply_platform_list",
    "choose_by_rendezvous",
    "choose_session_peers",
    "count_possible",
    "count_sharing",
    "drain_upstream",
    "drop_expired_members",
    "find_gone",
    "find_leaving_upstreams",
    "is_asking",
    "is_incarnation",
    "is_live",
    "list_choosable",
    "list_helpers",
    "list_live_instances",
    "list_neighbours",
    "list_own_leaving_reports",
    "list_possible",
    "list_possibly_serving",
    "make_incarnation",
    "record_disconnect",
    "record_frame",
    "record_heard",
    "record_incarnation",
    "record_listed",
    "record_seeds",
    "record_upstream_report",
    "request_answers",
    "take_questions",
]
