"""Forwards requests by host and path, using only the state of this instance.

Errors: ``SourceError`` and its subclasses; refusals are returned as values.
Features: ``features/forwarding``.
"""

from jujubenotch.forwarding.admit import (
    ConfigurationView,
    admit_request,
    choose_prefix_key,
)
from jujubenotch.forwarding.capacity import DirectCapacity
from jujubenotch.forwarding.division import Division, choose_group, record_group_load
from jujubenotch.forwarding.errors import (
    EraChangedError,
    HistoryLostError,
    SourceError,
)
from jujubenotch.forwarding.follow import (
    FollowProgress,
    SourceUpdate,
    follow_source,
    interrupt_call,
    read_boot_clock_s,
    read_unseen,
    record_update,
    was_recently_unavailable,
)
from jujubenotch.forwarding.freshness import (
    Freshness,
    find_store_time_s,
    measure_age_s,
    record_relayed_page,
    record_store_response,
)
from jujubenotch.forwarding.intervals import (
    choose_change_wait_s,
    choose_list_delay_s,
    double_pause_s,
)
from jujubenotch.forwarding.listing import (
    KnownUpstream,
    UpstreamListing,
    apply_items,
    drop_expired,
    find_usable,
    is_usable,
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
    ListedUpstream,
    PromptPart,
    RouteKind,
    Service,
    ServiceScaling,
    ServiceShare,
    SiteConfiguration,
    TeamKeys,
)
from jujubenotch.forwarding.placement import (
    UpstreamState,
    choose_upstream,
)
from jujubenotch.forwarding.preview import Candidate, Preview, preview_choice
from jujubenotch.forwarding.priority import pair_priorities, rank_priorities
from jujubenotch.forwarding.shared_paces import (
    PaceExchange,
    describe_learned,
    list_own,
    list_short_counts,
    list_totals,
    take_own,
    take_short_counts,
    take_totals,
)
from jujubenotch.forwarding.source import Item, Page, Source

__all__ = [
    "list_short_counts",
    "take_short_counts",
    "describe_learned",
    "PaceExchange",
    "list_own",
    "list_totals",
    "take_own",
    "take_totals",
    "ArrivedRequest",
    "CallerBounds",
    "Candidate",
    "ConfigurationView",
    "DirectCapacity",
    "Division",
    "EngineLimits",
    "EraChangedError",
    "FollowProgress",
    "Freshness",
    "HistoryLostError",
    "HostRoute",
    "Item",
    "KnownUpstream",
    "ListedUpstream",
    "Page",
    "Preview",
    "PromptPart",
    "RouteKind",
    "Service",
    "ServiceScaling",
    "ServiceShare",
    "SiteConfiguration",
    "SiteIndex",
    "Source",
    "SourceError",
    "SourceUpdate",
    "TeamKeys",
    "UpstreamListing",
    "UpstreamState",
    "admit_request",
    "apply_items",
    "build_index",
    "choose_change_wait_s",
    "choose_group",
    "choose_list_delay_s",
    "choose_prefix_key",
    "choose_service",
    "choose_upstream",
    "double_pause_s",
    "drop_expired",
    "find_route",
    "find_usable",
    "follow_source",
    "interrupt_call",
    "find_store_time_s",
    "is_usable",
    "measure_age_s",
    "pair_priorities",
    "preview_choice",
    "rank_priorities",
    "read_boot_clock_s",
    "read_unseen",
    "record_group_load",
    "record_relayed_page",
    "record_store_response",
    "record_update",
    "was_recently_unavailable",
]
