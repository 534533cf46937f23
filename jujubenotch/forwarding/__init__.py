"""Forwards requests by host and path, using only the state of this instance.

Errors: ``SourceError`` and its subclasses; refusals are returned as values.
Features: ``features/forwarding``.
"""

from jujubenotch.forwarding.admit import Knowledge, admit_request, choose_prefix_key
from jujubenotch.forwarding.capacity import PlacedCapacity
from jujubenotch.forwarding.division import Division, choose_group, record_group_load
from jujubenotch.forwarding.errors import HistoryLostError, SourceError
from jujubenotch.forwarding.follow import (
    Following,
    Update,
    choose_change_wait_s,
    choose_list_settle_s,
    end_wait,
    follow_source,
    read_suspended_clock_s,
    was_lost_lately,
)
from jujubenotch.forwarding.freshness import (
    Freshness,
    measure_age_s,
    record_answer,
)
from jujubenotch.forwarding.listing import (
    KnownUpstream,
    UpstreamListing,
    apply_items,
    find_usable,
    forget_missing,
)
from jujubenotch.forwarding.match import (
    SiteIndex,
    build_index,
    choose_service,
    find_route,
)
from jujubenotch.forwarding.model import (
    ArrivedRequest,
    CallerBounds,
    EngineLimits,
    HostRoute,
    KeyedTeam,
    ListedUpstream,
    PromptPart,
    RouteKind,
    Service,
    ServiceShare,
    SiteConfiguration,
)
from jujubenotch.forwarding.placement import (
    UpstreamState,
    choose_upstream,
)
from jujubenotch.forwarding.priority import pair_priorities, rank_priorities
from jujubenotch.forwarding.source import Item, Page, Source

__all__ = [
    "ArrivedRequest",
    "CallerBounds",
    "Division",
    "EngineLimits",
    "Following",
    "Freshness",
    "HistoryLostError",
    "HostRoute",
    "Item",
    "KeyedTeam",
    "Knowledge",
    "KnownUpstream",
    "ListedUpstream",
    "Page",
    "PlacedCapacity",
    "PromptPart",
    "RouteKind",
    "Service",
    "ServiceShare",
    "SiteConfiguration",
    "SiteIndex",
    "Source",
    "SourceError",
    "Update",
    "UpstreamListing",
    "UpstreamState",
    "admit_request",
    "apply_items",
    "build_index",
    "choose_change_wait_s",
    "choose_list_settle_s",
    "choose_group",
    "choose_prefix_key",
    "choose_service",
    "choose_upstream",
    "end_wait",
    "find_route",
    "find_usable",
    "follow_source",
    "forget_missing",
    "measure_age_s",
    "pair_priorities",
    "rank_priorities",
    "read_suspended_clock_s",
    "record_answer",
    "record_group_load",
    "was_lost_lately",
]
