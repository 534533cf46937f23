"""Decides when an instance that shares pages with its neighbours calls the store."""

import asyncio
import contextlib
import logging
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from jujubenotch.daemon.forward_parts import ForwardingInstance
from jujubenotch.forwarding import (
    FollowProgress,
    Source,
    SourceUpdate,
    choose_change_wait_s,
    double_pause_s,
    measure_age_s,
    read_boot_clock_s,
)
from jujubenotch.logs import log_event
from jujubenotch.membership import Instances, list_neighbours
from jujubenotch.neighbours import (
    DEFAULT_MAX_AGE_S,
    MessageKind,
    NeighbourEndpoint,
    ReaderRole,
    allows_single_reader,
    choose_read_wait_s,
    find_takeover_delay_s,
    is_outage_reported,
)

logger = logging.getLogger(__name__)

LIST_WAIT_S = 20.0
# Another instance calls more often and tells its neighbours when the store is back.
REPORTED_OUTAGE_PAUSE_S = 2.5
# Fewer failed calls may have another cause than the outage that a neighbour reports.
OUTAGE_FAILURES = 3


@dataclass(kw_only=True)
class FollowedSource:
    """One source that the instances of a data centre share.

    :param apply: Applies a page to the instance's state.
    :param must_catch_up: Whether this instance has missed changes of the source and
        has to call the store.
    :param recheck: Set when this instance may have to call the store.
    """

    source: Source
    progress: FollowProgress
    apply: Callable[[SourceUpdate], None]
    must_catch_up: bool = False
    recheck: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(kw_only=True)
class Relay:
    """The state of the exchange with the neighbours.

    :param shares_pages: Whether the instances of a data centre share pages, and find
        each other in the registry; otherwise all are in the directory.
    :param is_registering: Whether this instance is about to register for the first
        time; it then need not follow the sources yet.
    :param endpoint: The socket for messages; ``None`` before it is opened.
    :param registered_era: The era of the store in which this instance registered;
        ``None`` before.
    :param reader_address: The endpoint that sent the last page of the configuration;
        empty before.
    :param must_ask: Set when other instances may have to be asked whether they live.
    :param request_lease_read: Called when a revision of the store may be a write of
        the lease.
    :param is_lease_read_due: Tells whether such a write may not have been read yet.
    :param list_lease_revisions: Returns the revisions of the lease's latest writes.
    """

    instance: ForwardingInstance
    neighbours: Instances
    role: ReaderRole
    shares_pages: bool = False
    is_registering: bool = False
    followed: dict[MessageKind, FollowedSource] = field(default_factory=dict)
    endpoint: NeighbourEndpoint | None = None
    registered_era: int | None = None
    reader_address: str = ""
    must_ask: asyncio.Event = field(default_factory=asyncio.Event)
    request_lease_read: Callable[[], None] = lambda: None
    is_lease_read_due: Callable[[], bool] = lambda: False
    list_lease_revisions: Callable[[], tuple[int, ...]] = tuple

    @property
    def is_active(self) -> bool:
        """Whether pages are shared; otherwise each instance reads for itself."""
        return self.neighbours.is_registered and bool(list_neighbours(self.neighbours))

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
    shares_pages = address is not None and allows_single_reader(
        settings.max_change_delay_s
    )
    return Relay(
        instance=instance,
        neighbours=Instances(
            own_address=address.text if address else "", own_name=settings.name
        ),
        role=ReaderRole(draw=random.random()),
        shares_pages=shares_pages,
        is_registering=shares_pages,
    )


def add_followed_source(
    relay: Relay,
    kind: MessageKind,
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


async def wait_until_due(relay: Relay, kind: MessageKind) -> None:
    """Wait until this instance has to call the store for a source.

    :param relay: The relay; the role may change.
    :param kind: The kind of the source.
    """
    followed = relay.followed[kind]
    while (delay_s := _find_call_delay_s(relay, kind)) > 0:
        followed.recheck.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(None if math.isinf(delay_s) else delay_s):
                await followed.recheck.wait()


def _find_call_delay_s(relay, kind):
    followed = relay.followed[kind]
    if kind is not MessageKind.CONFIGURATION and _is_configuration_lost(relay):
        return math.inf
    if relay.is_reading or followed.must_catch_up or followed.progress.revision is None:
        return 0.0
    if kind is not MessageKind.CONFIGURATION:
        return math.inf
    age_s = _measure_configuration_age_s(relay)
    max_age_s = relay.instance.settings.max_key_age_s
    delay_s = find_takeover_delay_s(relay.role, max_age_s, age_s)
    if delay_s <= 0:
        _take_role(relay, age_s)
    return delay_s


def _is_configuration_lost(relay):
    """Return whether the store fails to answer the calls for the configuration.

    They notice its return, so the calls for the other sources can wait.
    """
    progress = relay.followed[MessageKind.CONFIGURATION].progress
    return relay.is_active and progress.failures > 0


def _measure_configuration_age_s(relay):
    return measure_age_s(relay.instance.state.freshness, read_boot_clock_s())


def _take_role(relay, age_s):
    relay.role.is_reader = True
    # The last reader may have died before it told of the latest writes.
    relay.request_lease_read()
    log_event(logger, logging.INFO, "reader-role-taken", age_s=round(age_s, 3))
    for followed in relay.followed.values():
        followed.recheck.set()


def choose_wait_s(relay: Relay, kind: MessageKind) -> float:
    """Choose how long the next call for a source may wait for changes.

    :param relay: The relay.
    :param kind: The kind of the source.
    :returns: The wait in seconds.
    """
    instance = relay.instance
    if kind is not MessageKind.CONFIGURATION:
        return LIST_WAIT_S if relay.is_reading else 0.0
    max_age_s = instance.settings.max_key_age_s
    if relay.is_reading and not relay.role.is_reader:
        return choose_change_wait_s(max_age_s, len(instance.state.listing.upstreams))
    return choose_read_wait_s(
        choose_change_wait_s(max_age_s or DEFAULT_MAX_AGE_S, upstreams=0),
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
    if failures >= OUTAGE_FAILURES and is_outage_reported(relay.role, now_s):
        return REPORTED_OUTAGE_PAUSE_S
    return double_pause_s(failures)
