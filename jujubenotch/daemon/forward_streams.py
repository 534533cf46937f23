"""Remembers where streams began, and tells other instances.

While a service has upstreams of one software version nothing is sent: each instance
only remembers the streams that it began.
"""

import asyncio
import contextlib
import logging
import math
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

from jujubenotch.daemon.forward_state import ForwardState
from jujubenotch.dispatch import Call
from jujubenotch.forwarding import Page, read_boot_clock_s
from jujubenotch.logs import log_event
from jujubenotch.membership import Instances, list_choosable, list_possible
from jujubenotch.neighbours import Message
from jujubenotch.streams import (
    OriginTable,
    RecordBook,
    RegistrationBook,
    StreamObjects,
    StreamOrigin,
    StreamRecordStore,
    VersionHistory,
    choose_record_span_s,
    find_origins_of,
    has_many_versions,
    note_versions,
    record_versions,
    remember_origin,
)

logger = logging.getLogger(__name__)

# The instances are listed by the store.
ADDRESSES_TIMEOUT_S = 0.3
# How old the list of instances may be when a stream began.
LIST_AGE_S = 10.0
# How old the list of instances may be when one that it lacks asks for help, or when it
# lists none that may help.
MIN_LIST_AGE_S = 1.0
# Versions that have left matter for the longest stream and its caller's return.
WINDOW_RATIO = 2.0
# Those of some seconds at large sites; the instance that keeps them writes them twice a
# second.
MAX_UNSAVED = 5000
MIN_WINDOW_S = 10.0
MAX_WINDOW_S = 120.0


@dataclass(kw_only=True)
class Question:
    """A question to other instances that waits for their answers.

    :param pending: The instances that have not answered.
    :param is_answered: Set once no further answer is needed.
    """

    pending: set[str] = field(default_factory=set)
    is_answered: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(kw_only=True)
class RecordReader:
    """What an instance has read of the objects since it started.

    :param objects: The records and the names of batches; ``None`` when the last call
        failed.
    :param has_lost_upstreams: Whether an upstream has ever left the list; ``None``
        while that is unknown.
    :param read_s: When the objects were last read or asked for, in seconds.
    :param batches_read_s: When the batches were last read, in seconds.
    :param lock: Held during a call, so that callers that come meanwhile share it.
    """

    objects: StreamObjects | None = None
    has_lost_upstreams: bool | None = None
    read_s: float = -math.inf
    batches_read_s: float = -math.inf
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)


@dataclass(kw_only=True)
class ListCheck:
    """The last proof that this instance knows all versions in the list of upstreams.

    :param started_s: When it was begun, in seconds.
    :param is_proved: Whether it succeeded.
    :param lock: Held during a check, so that callers that come meanwhile share one.
    :param question: The question to other instances that is part of it; ``None``
        without one.
    """

    started_s: float = -math.inf
    is_proved: bool = False
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    question: Question | None = None


@dataclass(kw_only=True)
class StreamWatch:
    """What an instance knows about the origins of streams.

    :param state: The instance's state, which lists the upstreams.
    :param neighbours: The other instances.
    :param send: Sends a message to the endpoints of other instances.
    :param unsent: The requests whose origins are to be sent to other instances.
    :param must_send: Set when there are any.
    :param addresses_wanted: Set when the other instances have to be listed.
    :param wants_all: Whether those of other data centres have to be listed as well.
    :param addresses_known: Set once they were listed.
    :param listed_s: When that was last done, monotonic, in seconds.
    :param questions: The questions that wait for answers, by request.
    :param split: The services that had upstreams of several versions lately.
    :param store: Keeps what has to outlive all instances; ``None`` without one.
    :param book: What this instance has written there.
    :param reader: What this instance has read there.
    :param must_record: Set when a service gets upstreams of a second version.
    :param registrations: The versions that are registered in the store.
    :param must_register: Set when the list of upstreams has changed.
    :param read_unseen: Reads the changes of the list that were not applied yet.
    :param list_check: The last proof that no version is missing.
    """

    state: ForwardState
    neighbours: Instances = field(default_factory=lambda: Instances(own_address=""))
    send: Callable[[Message, Iterable[str]], bool] = lambda message, addresses: False
    origins: OriginTable = field(default_factory=OriginTable)
    history: VersionHistory = field(default_factory=VersionHistory)
    unsent: list[str] = field(default_factory=list)
    must_send: asyncio.Event = field(default_factory=asyncio.Event)
    addresses_wanted: asyncio.Event = field(default_factory=asyncio.Event)
    wants_all: bool = False
    listed_s: float = float("-inf")
    addresses_known: asyncio.Event = field(default_factory=asyncio.Event)
    questions: dict[str, Question] = field(default_factory=dict)
    split: set[str] = field(default_factory=set)
    store: StreamRecordStore | None = None
    book: RecordBook = field(default_factory=RecordBook)
    reader: RecordReader = field(default_factory=RecordReader)
    must_record: asyncio.Event = field(default_factory=asyncio.Event)
    registrations: RegistrationBook = field(default_factory=RegistrationBook)
    must_register: asyncio.Event = field(default_factory=asyncio.Event)
    read_unseen: Callable[[], Awaitable[Page]] | None = None
    list_check: ListCheck = field(default_factory=ListCheck)


def record_listing(watch: StreamWatch) -> None:
    """Record the versions in the list of upstreams after an update.

    When a second version of a service comes, the other instances are told the streams
    that have begun before.

    :param watch: The state of the watch; changed in place.
    """
    now_s = read_boot_clock_s()
    upstreams = watch.state.listing.upstreams.values()
    listed = [(each.listed.service, each.listed.software_version) for each in upstreams]
    record_versions(watch.history, listed, now_s=now_s)
    watch.must_register.set()
    split = {service for service in watch.history.listed if is_split(watch, service)}
    if split:
        # The list may show a further version of a service.
        watch.must_record.set()
    for service in split - watch.split:
        window_s = find_window_s(watch.state)
        begun = find_origins_of(watch.origins, service, since_s=now_s - window_s)
        _log_split(watch, service, len(begun), window_s)
        watch.book.unsaved.update(begun)
        _send_later(watch, begun)
    watch.split = split


def _log_split(watch, service, streams, window_s):
    log_event(
        logger,
        logging.INFO,
        "service-versions-many",
        service=service,
        versions=sorted(watch.history.listed.get(service, ())),
        streams=streams,
        window_s=window_s,
    )


def find_window_s(state: ForwardState) -> float:
    """Find for how long a version that has left may still matter.

    :param state: The instance's state, with the timeouts of the routes.
    :returns: The time in seconds.
    """
    if state.index is None:
        return MAX_WINDOW_S
    routes = state.index.configuration.routes
    longest_s = max((each.timeout_s for each in routes if each.is_resumable), default=0)
    return min(MAX_WINDOW_S, max(MIN_WINDOW_S, WINDOW_RATIO * longest_s))


def is_split(watch: StreamWatch, service: str) -> bool:
    """Return whether origins of a service are shared, as it had several versions.

    :param watch: The state of the watch.
    :param service: The service.
    """
    return has_many_versions(
        watch.history,
        service,
        window_s=choose_record_span_s(find_window_s(watch.state)),
        now_s=read_boot_clock_s(),
    )


def record_stream_start(watch: StreamWatch, call: Call, origin: StreamOrigin) -> None:
    """Remember where a stream began, before its caller gets the first event.

    :param watch: The state of the watch; changed in place.
    :param call: The call.
    :param origin: Where its stream began.
    """
    if not call.can_resume_elsewhere:
        return
    request_id = call.resumed_request_id or call.request_id
    is_new = remember_origin(
        watch.origins, request_id, origin, now_s=read_boot_clock_s()
    )
    if not is_new:
        return
    if origin.service not in watch.split:
        if watch.registrations.is_overdue:
            _send_later(watch, (request_id,))
        return
    if is_split(watch, origin.service):
        save_later(watch, request_id, origin)
        _send_later(watch, (request_id,))
    else:
        # The list may not change for long after the other versions have left.
        watch.split.discard(origin.service)


def save_later(watch: StreamWatch, request_id: str, origin: StreamOrigin) -> None:
    """Keep an origin for the next batch; the oldest are given up for want of room.

    :param watch: The state of the watch; changed in place.
    :param request_id: The request that brought the first event.
    :param origin: Where the stream began.
    """
    unsaved = watch.book.unsaved
    unsaved[request_id] = origin
    while len(unsaved) > MAX_UNSAVED:
        del unsaved[next(iter(unsaved))]


def tell_again(watch: StreamWatch) -> None:
    """Tell the origins of shared streams again, as some of their owners have ended.

    :param watch: The state of the watch; changed in place.
    """
    since_s = read_boot_clock_s() - find_window_s(watch.state)
    for service in watch.split:
        _send_later(watch, find_origins_of(watch.origins, service, since_s=since_s))


def _send_later(watch, request_ids):
    watch.unsent.extend(request_ids)
    if watch.unsent:
        watch.must_send.set()


def list_instances(watch: StreamWatch) -> set[str]:
    """Return the addresses of the instances that keep origins, this one's included.

    :param watch: The state of the watch.
    """
    return list_choosable(watch.neighbours)


async def wait_for_instances(watch: StreamWatch, max_age_s: float) -> None:
    """Wait until the other instances were listed, if that was too long ago.

    :param watch: The state of the watch; changed in place.
    :param max_age_s: The largest age of the list, in seconds.
    """
    if asyncio.get_running_loop().time() - watch.listed_s > max_age_s:
        watch.addresses_known.clear()
        watch.addresses_wanted.set()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(ADDRESSES_TIMEOUT_S):
            await watch.addresses_known.wait()


async def is_listed(watch: StreamWatch, host: str) -> bool:
    """Return whether the store lists an instance of an IP address.

    :param watch: The state of the watch; changed in place.
    :param host: The IP address.
    """
    if not _has_listed(watch, host):
        watch.wants_all = True
        await wait_for_instances(watch, MIN_LIST_AGE_S)
    return _has_listed(watch, host)


def _has_listed(watch, host):
    return any(
        each.rpartition(":")[0] == host for each in list_possible(watch.neighbours)
    )


def add_versions(watch: StreamWatch, seen: Iterable[tuple[str, str]]) -> None:
    """Add versions that are not in this instance's list, or not yet.

    :param watch: The state of the watch; changed in place.
    :param seen: Services and software versions.
    """
    if note_versions(watch.history, seen, now_s=read_boot_clock_s()):
        record_listing(watch)
