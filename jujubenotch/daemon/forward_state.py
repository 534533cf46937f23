"""The configuration and upstreams known to an instance, and their updates."""

import asyncio
import logging
import math
from dataclasses import dataclass, field

from sanic import Sanic

from jujubenotch.daemon.forward_revisions import (
    Revisions,
    record_configuration_revision,
    record_revisions,
)
from jujubenotch.forwarding import (
    CallerBounds,
    ConfigurationView,
    FollowProgress,
    Freshness,
    SiteIndex,
    SourceUpdate,
    UpstreamListing,
    apply_items,
    build_index,
    drop_expired,
    measure_age_s,
    record_relayed_page,
    record_store_response,
    was_recently_unavailable,
)
from jujubenotch.listeners import ListenerLimits
from jujubenotch.logs import log_event
from jujubenotch.records import Configuration, Upstream, UpstreamKind

logger = logging.getLogger(__name__)

# Share of the configured maximum age of keys up to which the configuration may age.
# The rest allows for a request's transit time and for differences between clocks.
KEY_AGE_SHARE = 0.84
# The instance reports itself as not ready before the configuration is too old to
# check keys, so that the load balancer sends callers elsewhere in time.
READY_AGE_SHARE = 0.75
# After an outage of the store, entries of running upstreams may be missing from
# the list for this time.
MISSING_ENTRY_GRACE_S = 2.5
# Names the store in log lines, in place of the address of an instance.
STORE_SOURCE = "store"


@dataclass(kw_only=True)
class ForwardState:
    """The configuration and the upstreams known to an instance.

    :param index: The configuration in force; ``None`` before the first one was
        read.
    :param configuration_revision: The revision of the store at which that one was read.
    :param configuration_source: The address of the instance that sent it, or ``store``.
    :param freshness: When the configuration was last confirmed to be the newest.
    :param listing: The upstreams on the platform's list.
    :param upstreams: The listed upstreams as records, for the dispatcher.
    :param has_read_listing: Whether the list of upstreams has been read at least once.
    :param callers_app: The HTTP application for callers; its limits are updated
        with each configuration.
    :param callers_limits: The limits on their connections, updated as well.
    :param configuration_progress: The progress in following the configuration.
    :param listing_progress: The progress in following the list of upstreams.
    :param crash_progress: The progress in following the reports of crashed upstreams.
    :param revisions: The revisions of the store that the sources have told.
    :param loaded: Set once the configuration and the list have been read.

    >>> ForwardState().index
    """

    index: SiteIndex | None = None
    configuration_revision: int = 0
    configuration_source: str = ""
    freshness: Freshness = field(default_factory=Freshness)
    listing: UpstreamListing = field(default_factory=UpstreamListing)
    upstreams: Configuration = field(default_factory=Configuration)
    has_read_listing: bool = False
    callers_app: Sanic | None = None
    callers_limits: ListenerLimits | None = None
    configuration_progress: FollowProgress = field(
        default_factory=lambda: FollowProgress(name="configuration")
    )
    listing_progress: FollowProgress = field(
        default_factory=lambda: FollowProgress(name="upstreams")
    )
    crash_progress: FollowProgress = field(
        default_factory=lambda: FollowProgress(name="crash-reports")
    )
    revisions: Revisions = field(default_factory=Revisions)
    loaded: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def bounds(self) -> CallerBounds:
        """The limits on callers in the configuration in force, or the defaults."""
        if self.index is None:
            return CallerBounds()
        return self.index.configuration.bounds


def apply_configuration(state: ForwardState, update: SourceUpdate) -> None:
    """Apply a configuration if it is newer, and record when it was confirmed.

    :param state: The instance's state; changed in place.
    :param update: The update from the configuration's source.
    """
    record_configuration_revision(state.revisions, update)
    for item in update.page.items:
        if item.value is None:
            log_event(
                logger,
                logging.ERROR,
                "configuration-rejected",
                is_removed=item.is_removed,
                revision=update.page.revision,
            )
            continue
        _put_in_force(state, item.value, update)
    _record_freshness(state.freshness, update)
    _set_loaded_when_complete(state)


def _record_freshness(freshness, update):
    page = update.page
    if update.is_relayed:
        record_relayed_page(
            freshness,
            received_s=update.received_s,
            store_s=page.store_time_s,
            era=page.era,
        )
        return
    record_store_response(
        freshness,
        sent_s=update.sent_s,
        received_s=update.received_s,
        store_s=page.store_time_s,
        era=page.era,
    )


def _put_in_force(state, configuration, update):
    old_version = state.index.configuration.version if state.index else -1
    if configuration.version <= old_version:
        return
    state.index = build_index(configuration)
    state.configuration_revision = update.page.revision
    state.configuration_source = update.sender or STORE_SOURCE
    _set_limits(state)
    log_event(
        logger,
        logging.INFO,
        "configuration-in-force",
        version=configuration.version,
        before=old_version,
        routes=len(configuration.routes),
        teams=len(configuration.teams),
        revision=update.page.revision,
        source=state.configuration_source,
        unconfirmed_s=_round_finite(measure_age_s(state.freshness, update.received_s)),
    )


def _round_finite(seconds):
    return round(seconds, 3) if math.isfinite(seconds) else None


def attach_callers_app(
    state: ForwardState, callers_app: Sanic, limits: ListenerLimits
) -> None:
    """Apply the limits on callers now and after each change of the configuration.

    :param state: The instance's state; changed in place.
    :param callers_app: The HTTP application for callers.
    :param limits: The limits on their connections; changed in place.
    """
    state.callers_app = callers_app
    state.callers_limits = limits
    _set_limits(state)


def _set_loaded_when_complete(state):
    if state.index is not None and state.has_read_listing:
        state.loaded.set()


def _set_limits(state):
    app = state.callers_app
    if app is None:
        return
    app.config.REQUEST_MAX_SIZE = state.bounds.max_body_bytes
    app.config.REQUEST_MAX_HEADER_SIZE = state.bounds.max_header_bytes
    app.config.REQUEST_TIMEOUT = state.bounds.header_timeout_s
    app.config.KEEP_ALIVE_TIMEOUT = state.bounds.idle_timeout_s
    state.callers_limits.header_timeout_s = state.bounds.header_timeout_s
    state.callers_limits.body_timeout_s = state.bounds.idle_timeout_s


def apply_upstreams(state: ForwardState, update: SourceUpdate) -> set[str]:
    """Apply an update of the list of upstreams.

    :param state: The instance's state; changed in place.
    :param update: The update from the list's source.
    :returns: The names of the upstreams that were removed.
    """
    previous_names = set(state.listing.upstreams)
    record_revisions(state.revisions, update)
    apply_items(
        state.listing,
        update.page.items,
        is_snapshot=update.is_snapshot,
        follows_outage=update.follows_outage
        or update.starts_era
        or was_recently_unavailable(
            state.configuration_progress, MISSING_ENTRY_GRACE_S, update.received_s
        ),
        now_s=update.received_s,
        copied_revision=update.page.revision if update.starts_era else None,
    )
    drop_expired(state.listing, update.received_s)
    state.has_read_listing = True
    _set_loaded_when_complete(state)
    if update.page.items or previous_names != set(state.listing.upstreams):
        state.upstreams = _build_upstream_records(state.listing)
        _log_listing(state, update, previous_names)
    return previous_names - set(state.listing.upstreams)


def _log_listing(state, update, previous_names):
    for item in update.page.items:
        listed = item.value
        log_event(
            logger,
            logging.INFO,
            "upstream-listed" if listed else "upstream-unlisted",
            upstream=item.key,
            service=listed.service if listed else "unknown",
            software_version=listed.software_version if listed else "",
            is_leaving=listed.is_leaving if listed else True,
            is_new=item.key not in previous_names,
            revision=update.page.revision,
        )


def _build_upstream_records(listing):
    return Configuration(
        upstreams={
            name: Upstream(
                name=name,
                kind=UpstreamKind.SERVICE,
                data_centre=known.listed.data_centre,
                url=f"http://{known.listed.address}",
                models=(known.listed.service,),
                slots=known.listed.slots,
            )
            for name, known in listing.upstreams.items()
        }
    )


def is_ready(state: ForwardState, configuration_view: ConfigurationView) -> bool:
    """Return whether callers should be sent to this instance.

    :param state: The instance's state.
    :param configuration_view: The configuration in force with its age and the bound on
        its age.
    """
    if state.index is None or not state.has_read_listing:
        return False
    return configuration_view.age_s <= configuration_view.max_age_s * READY_AGE_SHARE
