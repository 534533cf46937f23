"""What a forwarding instance knows, and how news changes it."""

import asyncio
import logging
from dataclasses import dataclass, field

from sanic import Sanic

from jujubenotch.forwarding import (
    CallerBounds,
    Following,
    Freshness,
    Knowledge,
    SiteIndex,
    Update,
    UpstreamListing,
    apply_items,
    build_index,
    forget_missing,
    record_answer,
    was_lost_lately,
)
from jujubenotch.logs import log_event
from jujubenotch.records import Configuration, Upstream, UpstreamKind

logger = logging.getLogger(__name__)

# The rest of the bound on a key's age is left for a request's own way and for
# clocks that differ.
KEY_AGE_SHARE = 0.84
# Callers are sent elsewhere before keys can't be checked any more.
READY_AGE_SHARE = 0.75
# After the store was away, entries of live upstreams may be missing so long.
LAPSE_S = 2.5


@dataclass(kw_only=True)
class ForwardState:
    """What an instance knows.

    :param index: The configuration in force; ``None`` before the first.
    :param upstreams: The listed upstreams as records, for dispatch.
    :param is_listed: Whether the list of upstreams was read once.
    :param callers_app: The callers' interface, whose limits follow.
    :param configuration: How far the configuration has been followed.
    :param listed: How far the list of upstreams has been followed.
    :param unexplained_revision: The newest change that may be the list's.
    :param known: Set once the configuration and the list were read.

    >>> ForwardState().index
    """

    index: SiteIndex | None = None
    freshness: Freshness = field(default_factory=Freshness)
    listing: UpstreamListing = field(default_factory=UpstreamListing)
    upstreams: Configuration = field(default_factory=Configuration)
    is_listed: bool = False
    callers_app: Sanic | None = None
    configuration: Following = field(
        default_factory=lambda: Following(name="configuration")
    )
    listed: Following = field(default_factory=lambda: Following(name="upstreams"))
    unexplained_revision: int = 0
    known: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def bounds(self) -> CallerBounds:
        """The bounds on callers in force."""
        if self.index is None:
            return CallerBounds()
        return self.index.configuration.bounds


def apply_configuration(state: ForwardState, update: Update) -> None:
    """Put a configuration in force, if it is newer, and note how fresh it is.

    :param state: What is known; changed in place.
    :param update: What the source brought.
    """
    state.unexplained_revision = max(
        state.unexplained_revision, find_unexplained_revision(update)
    )
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
    record_answer(
        state.freshness,
        sent_s=update.sent_s,
        received_s=update.received_s,
        store_s=update.page.answered_store_s,
    )
    _note_known(state)


def find_unexplained_revision(update: Update) -> int:
    """Find the newest revision that may be another's than the configuration's.

    The store numbers all its changes. Those up to a page that its own items
    don't account for are the list's, or older versions of an item.

    :param update: What the configuration's source brought.
    :returns: The revision; 0 when the items account for all.
    """
    page = update.page
    if page.revision > page.changed_revision:
        return page.revision
    first = page.revision - len(page.items)
    if update.after_revision is not None and first <= update.after_revision:
        return 0
    return page.revision - 1


def is_list_behind(state: ForwardState) -> bool:
    """Tell whether the store has changes that neither source has brought.

    Changes that the list's source hasn't brought have fallen silent, or are on
    their way.

    :param state: What is known.
    """
    return state.unexplained_revision > (state.listed.revision or 0)


def _put_in_force(state, configuration, update):
    old = state.index.configuration.version if state.index else -1
    if configuration.version <= old:
        return
    state.index = build_index(configuration)
    _set_limits(state)
    log_event(
        logger,
        logging.INFO,
        "configuration-in-force",
        version=configuration.version,
        before=old,
        routes=len(configuration.routes),
        teams=len(configuration.teams),
        revision=update.page.revision,
    )


def follow_limits(state: ForwardState, callers_app: Sanic) -> None:
    """Keep the limits of the callers' interface as the configuration has them.

    :param state: What is known; changed in place.
    :param callers_app: The interface.
    """
    state.callers_app = callers_app
    _set_limits(state)


def _note_known(state):
    if state.index is not None and state.is_listed:
        state.known.set()


def _set_limits(state):
    app = state.callers_app
    if app is None:
        return
    app.config.REQUEST_MAX_SIZE = state.bounds.max_body_bytes
    app.config.REQUEST_MAX_HEADER_SIZE = state.bounds.max_header_bytes
    app.config.KEEP_ALIVE_TIMEOUT = state.bounds.idle_timeout_s


def apply_upstreams(state: ForwardState, update: Update) -> set[str]:
    """Take in what the list of upstreams says.

    :param state: What is known; changed in place.
    :param update: What the source brought.
    :returns: The names of upstreams that are gone.
    """
    before = set(state.listing.known)
    apply_items(
        state.listing,
        update.page.items,
        is_whole=update.is_whole,
        is_back=update.is_back
        or was_lost_lately(state.configuration, LAPSE_S, update.received_s),
        now_s=update.received_s,
    )
    forget_missing(state.listing, update.received_s)
    state.is_listed = True
    _note_known(state)
    if update.page.items or before != set(state.listing.known):
        state.upstreams = _write_records(state.listing)
        _log_listing(state, update, before)
    return before - set(state.listing.known)


def _log_listing(state, update, before):
    for item in update.page.items:
        listed = item.value
        log_event(
            logger,
            logging.INFO,
            "upstream-listed" if listed else "upstream-unlisted",
            upstream=item.key,
            service=listed.service if listed else "unknown",
            is_leaving=listed.is_leaving if listed else True,
            is_new=item.key not in before,
            revision=update.page.revision,
        )


def _write_records(listing):
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
            for name, known in listing.known.items()
        }
    )


def is_ready(state: ForwardState, knowledge: Knowledge) -> bool:
    """Tell whether callers should be sent to this instance.

    :param state: What is known.
    :param knowledge: The same with its age.
    """
    if state.index is None or not state.is_listed:
        return False
    return knowledge.age_s <= knowledge.max_age_s * READY_AGE_SHARE
