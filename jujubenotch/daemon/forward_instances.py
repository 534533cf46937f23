"""Lists the other instances, and finds out which of them are live."""

import asyncio
import logging
import random

from jujubenotch.daemon.forward_instance_count import update_count
from jujubenotch.daemon.forward_parts import ForwardingInstance, PlatformComponents
from jujubenotch.daemon.forward_registration import (
    repeat_until_confirmed,
    wait_for_new_era,
)
from jujubenotch.daemon.forward_relay import Relay
from jujubenotch.daemon.forward_streams import tell_again
from jujubenotch.forwarding import SourceError
from jujubenotch.logs import log_event
from jujubenotch.membership import (
    GONE_AFTER_S,
    choose_by_rendezvous,
    count_possible,
    find_gone,
    is_asking,
    list_choosable,
    list_neighbours,
    list_possible,
    record_listed,
    request_answers,
    take_questions,
)
from jujubenotch.neighbours import Message, MessageKind

logger = logging.getLogger(__name__)

COUNT_INTERVAL_S = 10.0
# Instances that start together see few of the others at first.
FIRST_COUNT_INTERVAL_S = 1.0
REGISTRATION_CHECK_S = 0.1
MIN_LIST_INTERVAL_S = 1.0
# A busy instance answers within this time, unless a datagram was lost.
QUESTION_INTERVAL_S = 0.5
# Bounds the datagrams that an instance sends at once.
MAX_QUESTIONS = 256
MAX_LOGGED = 8
# The mean time between two looks for entries of instances that are gone.
CLEANING_INTERVAL_S = 60.0
CLEANING_SPREAD = 0.25
REMOVAL_TIMEOUT_S = 0.25
# Bounds the calls after many replacements; the rest is removed the next time.
MAX_REMOVALS = 100


async def stay_listed(relay: Relay, components: PlatformComponents) -> None:
    """Add this instance to the directory, and again in each new era of the store.

    Instances that share pages are listed by their registry.

    :param relay: The relay.
    :param components: The components that are specific to the platform.
    """
    if relay.shares_pages:
        return
    state = relay.instance.state
    await state.loaded.wait()
    while True:
        era = state.listing_progress.era
        await repeat_until_confirmed(
            lambda: _add_own(relay, components), "instance-not-listed"
        )
        await wait_for_new_era(state, era)


async def _add_own(relay, components):
    instance = relay.instance
    instance.own_entry = await components.directory.add_instance(
        instance.settings.name,
        instance.settings.data_centre,
        relay.neighbours.own_address,
        instance.incarnation,
    )


async def leave_list(
    instance: ForwardingInstance, components: PlatformComponents
) -> None:
    """Remove the entry of an instance that stops.

    :param instance: The instance.
    :param components: The components that are specific to the platform.
    """
    if instance.own_entry is None:
        return
    try:
        async with asyncio.timeout(REMOVAL_TIMEOUT_S):
            await components.directory.remove_instance(instance.own_entry)
    except (SourceError, TimeoutError) as error:
        # Another instance removes it later.
        _log_failure("instance-entry-not-removed", error)


async def keep_count(relay: Relay, components: PlatformComponents) -> None:
    """Count the instances at the start, and again while their number is wanted.

    :param relay: The relay; the instance's count is changed in place.
    :param components: The components that are specific to the platform.
    """
    count = relay.instance.instance_count
    interval_s = FIRST_COUNT_INTERVAL_S
    await relay.instance.state.loaded.wait()
    # An instance that shares pages learns of the others when it registers.
    while relay.shares_pages and not relay.neighbours.is_registered:
        await asyncio.sleep(REGISTRATION_CHECK_S)
    while True:
        if relay.shares_pages:
            ask_neighbours(relay)
            update_count(relay)
        else:
            await _list_again(relay, components)
        await asyncio.sleep(interval_s)
        interval_s = min(2 * interval_s, COUNT_INTERVAL_S)
        if count.is_known:
            count.wanted.clear()
            await count.wanted.wait()


async def keep_addresses(relay: Relay, components: PlatformComponents) -> None:
    """List the other instances when that is wanted.

    :param relay: The relay; its neighbours are changed in place.
    :param components: The components that are specific to the platform.
    """
    watch = relay.instance.stream_watch
    while True:
        await watch.addresses_wanted.wait()
        # Instances that share pages know those of their data centre already.
        if watch.wants_all or not relay.shares_pages:
            await _list_again(relay, components)
            watch.wants_all = False
        else:
            ask_neighbours(relay)
        watch.listed_s = asyncio.get_running_loop().time()
        watch.addresses_known.set()
        watch.addresses_wanted.clear()
        await asyncio.sleep(MIN_LIST_INTERVAL_S)


async def _list_again(relay, components):
    """List all instances; return whether the store answered."""
    try:
        await list_all(relay, components)
    except SourceError as error:
        _log_failure("instances-not-listed", error)
        return False
    return True


async def list_all(relay: Relay, components: PlatformComponents) -> None:
    """List the instances of all data centres, and ask those that weren't heard lately.

    :param relay: The relay; its neighbours are changed in place.
    :param components: The components that are specific to the platform.
    :raises SourceError: The store did not return a valid response.
    """
    before = len(list_possible(relay.neighbours))
    if relay.shares_pages:
        listed = []
        for data_centre in relay.instance.settings.all_data_centres:
            listed += await components.registry.list_instances(data_centre)
    else:
        listed = await components.directory.list_instances()
    _record(relay, listed, None)
    log_event(
        logger,
        logging.INFO,
        "instances-listed",
        neighbours=len(list_possible(relay.neighbours)),
        before=before,
        live=len(list_neighbours(relay.neighbours)),
    )


def _record(relay, listed, data_centre):
    instance = relay.instance
    record_listed(
        relay.neighbours,
        listed,
        own_incarnation=instance.incarnation,
        data_centre=data_centre,
        neighbours_in=instance.settings.data_centre if relay.shares_pages else None,
        now_s=asyncio.get_running_loop().time(),
    )
    ask_neighbours(relay, asks_all=data_centre is None)
    update_count(relay)


async def has_others(relay: Relay, components: PlatformComponents) -> bool:
    """Return whether another instance may hold the lease.

    Where pages are shared, only the readers of the other data centres may.

    :param relay: The relay; its neighbours are changed in place.
    :param components: The components that are specific to the platform.
    :raises SourceError: The store did not return a valid response.
    """
    await list_all(relay, components)
    if not relay.shares_pages:
        return count_possible(relay.neighbours) > 1
    own = relay.instance.settings.data_centre
    known = relay.neighbours.known
    possible = list_possible(relay.neighbours)
    return any(known[address].data_centre != own for address in possible)


def ask_neighbours(relay: Relay, *, asks_all: bool = False) -> None:
    """Ask the neighbours that weren't heard lately whether they live.

    :param relay: The relay; its neighbours are changed in place.
    :param asks_all: Whether instances of other data centres are asked as well.
    """
    now_s = asyncio.get_running_loop().time()
    request_answers(relay.neighbours, asks_all=asks_all, now_s=now_s)
    relay.must_ask.set()


async def keep_asking(relay: Relay) -> None:
    """Send the questions to other instances; runs until it is cancelled.

    :param relay: The relay; its neighbours are changed in place.
    """
    while True:
        await relay.must_ask.wait()
        relay.must_ask.clear()
        while is_asking(relay.neighbours):
            if relay.endpoint is not None:
                _ask_once(relay)
            await asyncio.sleep(QUESTION_INTERVAL_S)


def _ask_once(relay):
    neighbours = relay.neighbours
    before = list_neighbours(neighbours)
    asked = take_questions(neighbours, MAX_QUESTIONS)
    ended = before - list_neighbours(neighbours)
    if ended:
        log_event(
            logger,
            logging.INFO,
            "instances-not-answering",
            addresses=sorted(ended)[:MAX_LOGGED],
            ended=len(ended),
            live=len(before) - len(ended),
        )
        tell_again(relay.instance.stream_watch)
    update_count(relay)
    # Each release answers this question, which asks for no stream.
    relay.endpoint.send(Message(kind=MessageKind.STREAM_QUERY), asked)


async def keep_list_clean(relay: Relay, components: PlatformComponents) -> None:
    """Remove the entries of instances that are gone; runs until it is cancelled.

    :param relay: The relay; its neighbours are changed in place.
    :param components: The components that are specific to the platform.
    """
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    while True:
        spread = random.uniform(-CLEANING_SPREAD, CLEANING_SPREAD)
        await asyncio.sleep(CLEANING_INTERVAL_S * (1 + spread))
        try:
            await clean_list(relay, components, loop.time() - started_s)
        except SourceError as error:
            _log_failure("instances-not-cleaned", error)


async def clean_list(
    relay: Relay, components: PlatformComponents, age_s: float
) -> None:
    """List the instances, and remove the entries that this instance has to remove.

    :param relay: The relay; its neighbours are changed in place.
    :param components: The components that are specific to the platform.
    :param age_s: For how long this instance has run, in seconds.
    :raises SourceError: The store did not confirm a call.
    """
    neighbours = relay.neighbours
    if relay.shares_pages:
        own = relay.instance.settings.data_centre
        _record(relay, await components.registry.list_instances(own), own)
        source = components.registry
    else:
        await list_all(relay, components)
        source = components.directory
        if not neighbours.is_own_listed:
            # Another instance has taken this one for gone.
            await _add_own(relay, components)
    live = list_choosable(neighbours)
    removed = [
        entry
        for entry in find_gone(neighbours)
        if choose_by_rendezvous(entry.address, live) == [neighbours.own_address]
    ]
    if age_s >= GONE_AFTER_S:
        removed += neighbours.superseded
    for entry in removed[:MAX_REMOVALS]:
        await source.remove_instance(entry)
        log_event(logger, logging.INFO, "instance-entry-removed", address=entry.address)


def _log_failure(event, error):
    log_event(logger, logging.WARNING, event, error=str(error) or type(error).__name__)
