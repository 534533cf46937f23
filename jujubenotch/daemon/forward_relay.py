"""Shares the pages of the store between the instances of one data centre."""

import asyncio
import contextlib
import logging
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from jujubenotch.daemon.forward_parts import ForwardingInstance, PlatformComponents
from jujubenotch.forwarding import (
    FollowProgress,
    Item,
    Page,
    Source,
    SourceError,
    SourceUpdate,
    choose_change_wait_s,
    double_pause_s,
    measure_age_s,
    read_boot_clock_s,
    record_update,
)
from jujubenotch.logs import log_event
from jujubenotch.metrics import count_neighbour_message
from jujubenotch.neighbours import (
    NeighbourEndpoint,
    Neighbours,
    News,
    NewsItem,
    NewsKind,
    ReaderRole,
    allows_single_reader,
    choose_read_wait_s,
    find_takeover_delay_s,
    is_outage_reported,
    is_usable_news,
    must_step_down,
    open_endpoint,
)
from jujubenotch.sockets import ListenerError

logger = logging.getLogger(__name__)

LIST_WAIT_S = 20.0
# Another instance calls more often and tells its neighbours when the store is back.
REPORTED_OUTAGE_PAUSE_S = 2.5
# Datagrams may overtake each other, and the neighbours that miss the same message
# should not call the store at the same moment.
MIN_CATCH_UP_DELAY_S = 0.05
CATCH_UP_SPREAD_S = 0.3
FIRST_REGISTRATION_PAUSE_S = 0.5
MAX_REGISTRATION_PAUSE_S = 10.0
# How often the era of the store is compared with that of the registration.
ERA_CHECK_INTERVAL_S = 5.0


@dataclass(kw_only=True)
class FollowedSource:
    """One source that the instances of a data centre share.

    :param apply: Applies a page to the instance's state.
    :param must_catch_up: Whether this instance has missed changes of the source and
        has to call the store.
    :param turn: Set when this instance may have to call the store.
    """

    source: Source
    progress: FollowProgress
    apply: Callable[[SourceUpdate], None]
    must_catch_up: bool = False
    turn: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(kw_only=True)
class Relay:
    """The state of the exchange with the neighbours.

    :param is_registering: Whether this instance is about to register for the first
        time; it then need not follow the sources yet.
    :param endpoint: The open socket; ``None`` until this instance is registered.
    :param registered_era: The era of the store in which this instance registered;
        ``None`` before.
    """

    instance: ForwardingInstance
    neighbours: Neighbours
    role: ReaderRole
    is_registering: bool = False
    followed: dict[NewsKind, FollowedSource] = field(default_factory=dict)
    endpoint: NeighbourEndpoint | None = None
    registered_era: int | None = None

    @property
    def is_active(self) -> bool:
        """Whether pages are shared; otherwise each instance reads for itself."""
        return self.neighbours.is_registered and bool(self.neighbours.addresses)

    @property
    def is_reading(self) -> bool:
        """Whether this instance follows the sources by its own calls."""
        return self.role.is_reader or not (self.is_active or self.is_registering)


def make_relay(instance: ForwardingInstance) -> Relay:
    """Make the relay of an instance; nothing is sent before ``run_relay``.

    :param instance: The instance.
    :returns: The relay.
    """
    settings = instance.settings
    address = settings.neighbours
    return Relay(
        instance=instance,
        neighbours=Neighbours(own_address=address.text if address else ""),
        role=ReaderRole(draw=random.random()),
        is_registering=address is not None
        and allows_single_reader(settings.max_change_delay_s),
    )


async def run_relay(relay: Relay, components: PlatformComponents) -> None:
    """Register this instance with its neighbours, and again in each new era.

    Does nothing where a change must be in force sooner than the reader's role
    passes on from a failed instance.

    :param relay: The relay; changed in place.
    :param components: The components that are specific to the platform.
    """
    if not relay.is_registering:
        return
    address = relay.instance.settings.neighbours
    await relay.instance.state.loaded.wait()
    try:
        relay.endpoint = await open_endpoint(
            address.host,
            address.port,
            lambda sender, news: receive_news(relay, sender, news),
        )
    except ListenerError as error:
        log_event(logger, logging.ERROR, "neighbours-unavailable", error=str(error))
        _end_registering(relay)
        return
    try:
        await _stay_registered(relay, components.registry)
    finally:
        relay.endpoint.close()


async def _stay_registered(relay, registry):
    while True:
        await _register_until_confirmed(relay, registry)
        while relay.registered_era == relay.instance.state.listing_progress.era:
            await asyncio.sleep(ERA_CHECK_INTERVAL_S)


def _end_registering(relay):
    relay.is_registering = False
    for followed in relay.followed.values():
        followed.turn.set()


async def _register_until_confirmed(relay, registry):
    pause_s = FIRST_REGISTRATION_PAUSE_S
    while True:
        try:
            await _register(relay, registry)
            return
        except SourceError as error:
            log_event(logger, logging.WARNING, "registration-failed", error=str(error))
        finally:
            _end_registering(relay)
        await asyncio.sleep(pause_s * random.uniform(0.5, 1.0))
        pause_s = min(MAX_REGISTRATION_PAUSE_S, 2 * pause_s)


async def _register(relay, registry):
    era = relay.instance.state.listing_progress.era
    data_centre = relay.instance.settings.data_centre
    own_address = relay.neighbours.own_address
    # Of two instances that register at the same time, the one that is written
    # second finds the other in the list and greets it.
    await registry.add_instance(data_centre, own_address)
    for address in await registry.list_instances(data_centre):
        relay.neighbours.add(address)
    relay.registered_era = era
    relay.neighbours.is_registered = True
    relay.endpoint.send(News(kind=NewsKind.HELLO), relay.neighbours.addresses)
    log_event(
        logger,
        logging.INFO,
        "neighbours-registered",
        neighbours=len(relay.neighbours.addresses),
        era=era,
    )


def add_followed_source(
    relay: Relay,
    kind: NewsKind,
    source: Source,
    progress: FollowProgress,
    apply: Callable[[SourceUpdate], None],
) -> FollowedSource:
    """Share a source with the neighbours.

    :param relay: The relay; changed in place.
    :param kind: The kind of the messages about the source's pages.
    :param source: The source.
    :param progress: The progress in following it.
    :param apply: Applies a page to the instance's state.
    :returns: The followed source.
    """
    followed = FollowedSource(source=source, progress=progress, apply=apply)
    relay.followed[kind] = followed
    return followed


async def wait_for_turn(relay: Relay, kind: NewsKind) -> None:
    """Wait until this instance has to call the store for a source.

    :param relay: The relay; the role may change.
    :param kind: The kind of the source.
    """
    followed = relay.followed[kind]
    while (delay_s := _find_call_delay_s(relay, kind)) > 0:
        followed.turn.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(None if math.isinf(delay_s) else delay_s):
                await followed.turn.wait()


def _find_call_delay_s(relay, kind):
    followed = relay.followed[kind]
    if kind is NewsKind.UPSTREAMS and _is_configuration_lost(relay):
        return math.inf
    if relay.is_reading or followed.must_catch_up or followed.progress.revision is None:
        return 0.0
    if kind is not NewsKind.CONFIGURATION:
        return math.inf
    age_s = _measure_configuration_age_s(relay)
    max_age_s = relay.instance.settings.max_key_age_s
    delay_s = find_takeover_delay_s(relay.role, max_age_s, age_s)
    if delay_s <= 0:
        _take_role(relay, age_s)
    return delay_s


def _is_configuration_lost(relay):
    """Return whether the store fails to answer the calls for the configuration.

    They notice its return, so the calls for the list can wait.
    """
    progress = relay.followed[NewsKind.CONFIGURATION].progress
    return relay.is_active and progress.failures > 0


def _measure_configuration_age_s(relay):
    return measure_age_s(relay.instance.state.freshness, read_boot_clock_s())


def _take_role(relay, age_s):
    relay.role.is_reader = True
    log_event(logger, logging.INFO, "reader-role-taken", age_s=round(age_s, 3))
    for followed in relay.followed.values():
        followed.turn.set()


def choose_wait_s(relay: Relay, kind: NewsKind) -> float:
    """Choose how long the next call for a source may wait for changes.

    :param relay: The relay.
    :param kind: The kind of the source.
    :returns: The wait in seconds.
    """
    instance = relay.instance
    if kind is not NewsKind.CONFIGURATION:
        return LIST_WAIT_S if relay.is_reading else 0.0
    max_age_s = instance.settings.max_key_age_s
    if relay.is_reading and not relay.role.is_reader:
        return choose_change_wait_s(max_age_s, len(instance.state.listing.upstreams))
    return choose_read_wait_s(
        choose_change_wait_s(max_age_s, upstreams=0),
        _measure_configuration_age_s(relay),
        is_reader=relay.role.is_reader,
    )


def choose_pause_s(relay: Relay, failures: int, now_s: float) -> float:
    """Choose the pause after a failed call for the configuration.

    :param relay: The relay.
    :param failures: The number of consecutive calls that failed.
    :param now_s: The present monotonic time, in seconds.
    :returns: The pause in seconds.
    """
    if is_outage_reported(relay.role, now_s):
        return REPORTED_OUTAGE_PAUSE_S
    return double_pause_s(failures)


def report_outage(relay: Relay) -> None:
    """Tell the neighbours that the store does not answer this instance.

    :param relay: The relay.
    """
    if relay.is_active and relay.role.is_reader:
        _send(relay, News(kind=NewsKind.OUTAGE))


def share_page(relay: Relay, kind: NewsKind, update: SourceUpdate) -> None:
    """Send a page that this instance read to its neighbours.

    :param relay: The relay.
    :param kind: The kind of the source.
    :param update: The page.
    """
    relay.followed[kind].must_catch_up = False
    if kind is NewsKind.CONFIGURATION and update.follows_outage:
        relay.followed[NewsKind.UPSTREAMS].turn.set()
    if not relay.is_active or not relay.role.is_reader or update.is_snapshot:
        return
    news = _make_news(relay, kind, update)
    if not _send(relay, news):
        _send(relay, replace(news, items=(), is_complete=False))


def _send(relay, news):
    is_sent = relay.endpoint.send(news, relay.neighbours.addresses)
    if is_sent:
        count_neighbour_message(relay.instance.observer.metrics, news.kind, "sent")
    return is_sent


def _make_news(relay, kind, update):
    page = update.page
    list_progress = relay.followed[NewsKind.UPSTREAMS].progress
    is_same_era = list_progress.era == page.era
    return News(
        kind=kind,
        era=page.era,
        after_revision=update.after_revision,
        revision=page.revision,
        changed_revision=page.changed_revision,
        store_time_s=page.store_time_s,
        list_revision=(list_progress.revision or 0) if is_same_era else 0,
        follows_outage=update.follows_outage,
        items=tuple(
            NewsItem(
                key=item.key,
                content=item.content,
                is_removed=item.is_removed,
                revision=item.revision,
            )
            for item in page.items
        ),
    )


def receive_news(relay: Relay, sender: str, news: News) -> None:
    """Apply a neighbour's message.

    :param relay: The relay; its state and the instance's are changed in place.
    :param sender: The address of the neighbour's endpoint.
    :param news: The message.
    """
    relay.neighbours.add(sender)
    metrics = relay.instance.observer.metrics
    count_neighbour_message(metrics, news.kind, "received")
    if news.kind is NewsKind.OUTAGE:
        _hear_outage(relay, sender)
    followed = relay.followed.get(news.kind)
    if followed is None:
        return
    progress = followed.progress
    if progress.era is None or news.era < progress.era:
        return
    if news.era == progress.era and news.revision < (progress.revision or 0):
        return
    _step_down_if_needed(relay, sender, news, progress)
    if is_usable_news(news, progress.era, progress.revision):
        _apply_news(relay, followed, news)
    else:
        _schedule_catch_up(relay, followed, news.era, news.revision)
    _compare_lists(relay, news)


def _hear_outage(relay, sender):
    if sender < relay.neighbours.own_address:
        relay.role.outage_heard_s = asyncio.get_running_loop().time()


def _step_down_if_needed(relay, sender, news, progress):
    if must_step_down(
        relay.role,
        news,
        sender=sender,
        own_address=relay.neighbours.own_address,
        is_failing=progress.failures > 0,
    ):
        relay.role.is_reader = False
        log_event(logger, logging.INFO, "reader-role-left", to=sender)


def _apply_news(relay, followed, news):
    now_s = read_boot_clock_s()
    update = SourceUpdate(
        page=Page(
            items=tuple(_make_item(followed.source, item) for item in news.items),
            revision=news.revision,
            store_time_s=news.store_time_s,
            changed_revision=news.changed_revision,
            era=news.era,
        ),
        sent_s=now_s,
        received_s=now_s,
        after_revision=news.after_revision,
        follows_outage=news.follows_outage,
        is_relayed=True,
    )
    ends_outage = followed.progress.failures > 0
    record_update(followed.progress, update)
    followed.apply(update)
    if ends_outage:
        _end_pauses(relay)


def _end_pauses(relay):
    for followed in relay.followed.values():
        followed.progress.retry_requested.set()
        followed.turn.set()


def _make_item(source, item):
    if item.is_removed:
        return Item(key=item.key, value=None, is_removed=True)
    return source.make_item(item.key, item.content, item.revision)


def _compare_lists(relay, news):
    """Catch up with the list if the sender knows changes that this instance missed."""
    followed = relay.followed[NewsKind.UPSTREAMS]
    if not is_known(followed.progress, news.era, news.list_revision):
        _schedule_catch_up(relay, followed, news.era, news.list_revision)


def is_known(progress: FollowProgress, era: int, revision: int) -> bool:
    """Return whether all changes up to a revision are known, or will be read anyway.

    :param progress: The progress in following a source.
    :param era: The era of the revision.
    :param revision: The revision.
    """
    if progress.revision is None or progress.era is None:
        return True
    return (progress.era, progress.revision) >= (era, revision)


def _schedule_catch_up(relay, followed, era, revision):
    delay_s = MIN_CATCH_UP_DELAY_S + CATCH_UP_SPREAD_S * random.random()
    asyncio.get_running_loop().call_later(
        delay_s, _catch_up, relay, followed, era, revision
    )


def _catch_up(relay, followed, era, revision):
    if is_known(followed.progress, era, revision) or followed.must_catch_up:
        return
    log_event(
        logger,
        logging.INFO,
        "news-missed",
        source=followed.progress.name,
        revision=followed.progress.revision,
        newest=revision,
        era=era,
    )
    count_neighbour_message(
        relay.instance.observer.metrics, followed.progress.name, "missed"
    )
    followed.must_catch_up = True
    followed.turn.set()
