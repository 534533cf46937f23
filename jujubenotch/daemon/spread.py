"""Propagates newer revisions of the configuration between peers.

An instance that learns of a newer revision at a peer fetches the changes from that
peer. An instance that sees an older revision persist at a peer pushes the missing
changes, since a peer may accept connections but be unable to open them.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from jujubenotch.daemon.configuration import ConfigurationKeeper
from jujubenotch.logs import log_event
from jujubenotch.peers import PeerError
from jujubenotch.records import RecordsError, apply_changes, changes_since

logger = logging.getLogger(__name__)

PUSH_AFTER_S = 1.5

FetchChanges = Callable[[str, int], Awaitable[list[bytes]]]
PushChanges = Callable[[str, list[bytes]], Awaitable[None]]


@dataclass(kw_only=True)
class Lag:
    """The lag of a peer that has an older revision in force.

    :param revision: The peer's revision.
    :param since_s: When this revision was first seen at the peer, or when the
        changes were last pushed to it, on the monotonic clock, in seconds.
    """

    revision: int
    since_s: float


@dataclass(kw_only=True)
class ConfigurationSpread:
    """The state of exchanging changes of the configuration with the peers.

    Newer changes are fetched from one peer at a time. Changes are pushed to each
    peer that lags behind.

    :param fetch_changes: Fetches the changes after a revision from a peer.
    :param push_changes: Sends changes to a peer.
    :param task: The task that fetches changes; ``None`` before the first fetch.
    :param waiting: The newer revisions still to be fetched, by peer.
    :param lags: The peers that lag behind, by name.
    :param pushes: The latest push to each peer, by name.

    >>> spread = ConfigurationSpread(keeper=keeper)
    >>> see_revision(spread, 17, "b2", now_s=time.monotonic())
    """

    keeper: ConfigurationKeeper
    fetch_changes: FetchChanges | None = None
    push_changes: PushChanges | None = None
    task: asyncio.Task | None = None
    waiting: dict[str, int] = field(default_factory=dict)
    lags: dict[str, Lag] = field(default_factory=dict)
    pushes: dict[str, asyncio.Task] = field(default_factory=dict)


def see_revision(
    spread: ConfigurationSpread, revision: int, peer: str, now_s: float
) -> None:
    """Compare a peer's revision with the local one, and fetch or push changes.

    :param spread: The state of the exchange; changed in place.
    :param revision: The revision in force at the peer.
    :param peer: The peer's name.
    :param now_s: The current monotonic time, in seconds.
    """
    own = spread.keeper.replica.revision
    if revision >= own:
        spread.lags.pop(peer, None)
    if revision > own and spread.fetch_changes is not None:
        spread.waiting[peer] = revision
        if spread.task is None or spread.task.done():
            spread.task = asyncio.create_task(_fetch_all(spread))
    if revision < own and is_lag_due(spread, revision, peer, now_s):
        work = _push(spread, peer, changes_since(spread.keeper.replica, revision))
        spread.pushes[peer] = asyncio.create_task(work)


def is_lag_due(
    spread: ConfigurationSpread, revision: int, peer: str, now_s: float
) -> bool:
    """Return whether a peer has lagged behind long enough for a push.

    A result of True restarts the delay before the next push.

    :param spread: The state of the exchange; changed in place.
    :param revision: The revision in force at the peer, older than the local one.
    :param peer: The peer's name.
    :param now_s: The current monotonic time, in seconds.
    :returns: Whether the caller should push the changes now.
    """
    lag = spread.lags.get(peer)
    if lag is None or lag.revision != revision:
        spread.lags[peer] = Lag(revision=revision, since_s=now_s)
        return False
    push = spread.pushes.get(peer)
    is_pushing = push is not None and not push.done()
    if now_s - lag.since_s < PUSH_AFTER_S or is_pushing:
        return False
    lag.since_s = now_s
    return True


def take_changes(spread: ConfigurationSpread, contents: list[bytes]) -> None:
    """Apply changes that came from a peer; log an error if they can't be applied.

    :param spread: The state of the exchange, whose replica is updated.
    :param contents: The encoded changes, in order.
    """
    replica = spread.keeper.replica
    try:
        apply_changes(replica, contents)
    except RecordsError as error:
        log_event(
            logger, logging.WARNING, "changes-not-taken", error=type(error).__name__
        )
        return
    spread.keeper.is_known = spread.keeper.is_known or replica.revision > 0
    log_event(logger, logging.INFO, "changes-taken", revision=replica.revision)


async def _fetch_all(spread):
    while spread.waiting:
        peer, revision = spread.waiting.popitem()
        if revision > spread.keeper.replica.revision:
            await _fetch(spread, peer)


async def _fetch(spread, peer):
    try:
        revision = spread.keeper.replica.revision
        contents = await spread.fetch_changes(peer, revision)
    except PeerError as error:
        _log_failure("changes-not-fetched", peer, error)
        return
    take_changes(spread, contents)


async def _push(spread, peer, contents):
    try:
        await spread.push_changes(peer, contents)
    except PeerError as error:
        _log_failure("changes-not-pushed", peer, error)


def _log_failure(event, peer, error):
    log_event(logger, logging.INFO, event, peer=peer, error=type(error).__name__)
