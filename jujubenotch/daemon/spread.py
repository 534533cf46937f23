"""Propagates newer revisions of the configuration between peers.

An instance that learns of a newer revision at a peer fetches the changes from that
peer. An instance that sees an older revision persist at a peer pushes the missing
changes, since a peer may accept connections but be unable to open them.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from jujubenotch.daemon.configuration import ConfigurationFollower
from jujubenotch.logs import log_event
from jujubenotch.peers import PeerError
from jujubenotch.records import RecordsError, apply_changes, encode_changes_since

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
class ConfigurationPropagation:
    """The state of propagating changes of the configuration between peers.

    Newer changes are fetched from one peer at a time. Changes are pushed to each
    peer that lags behind.

    :param fetch_changes: Fetches the changes after a revision from a peer.
    :param push_changes: Sends changes to a peer.
    :param fetch_task: The task that fetches changes; ``None`` before the first fetch.
    :param pending_fetches: The newer revisions still to be fetched, by peer.
    :param lags: The peers that lag behind, by name.
    :param push_tasks: The latest push to each peer, by name.

    >>> propagation = ConfigurationPropagation(follower=follower)
    >>> handle_peer_revision(propagation, 17, "b2", now_s=time.monotonic())
    """

    follower: ConfigurationFollower
    fetch_changes: FetchChanges | None = None
    push_changes: PushChanges | None = None
    fetch_task: asyncio.Task | None = None
    pending_fetches: dict[str, int] = field(default_factory=dict)
    lags: dict[str, Lag] = field(default_factory=dict)
    push_tasks: dict[str, asyncio.Task] = field(default_factory=dict)


def handle_peer_revision(
    propagation: ConfigurationPropagation, revision: int, peer: str, now_s: float
) -> None:
    """Compare a peer's revision with the local one, and fetch or push changes.

    :param propagation: The state of the propagation; changed in place.
    :param revision: The revision in force at the peer.
    :param peer: The peer's name.
    :param now_s: The current monotonic time, in seconds.
    """
    local_revision = propagation.follower.replica.revision
    if revision >= local_revision:
        propagation.lags.pop(peer, None)
    if revision > local_revision and propagation.fetch_changes is not None:
        propagation.pending_fetches[peer] = revision
        if propagation.fetch_task is None or propagation.fetch_task.done():
            propagation.fetch_task = asyncio.create_task(_fetch_all(propagation))
    if revision < local_revision and is_lag_due(propagation, revision, peer, now_s):
        coroutine = _push(
            propagation,
            peer,
            encode_changes_since(propagation.follower.replica, revision),
        )
        propagation.push_tasks[peer] = asyncio.create_task(coroutine)


def is_lag_due(
    propagation: ConfigurationPropagation, revision: int, peer: str, now_s: float
) -> bool:
    """Return whether a peer has lagged behind long enough for a push.

    A result of True restarts the delay before the next push.

    :param propagation: The state of the propagation; changed in place.
    :param revision: The revision in force at the peer, older than the local one.
    :param peer: The peer's name.
    :param now_s: The current monotonic time, in seconds.
    :returns: Whether the caller should push the changes now.
    """
    lag = propagation.lags.get(peer)
    if lag is None or lag.revision != revision:
        propagation.lags[peer] = Lag(revision=revision, since_s=now_s)
        return False
    push = propagation.push_tasks.get(peer)
    is_pushing = push is not None and not push.done()
    if now_s - lag.since_s < PUSH_AFTER_S or is_pushing:
        return False
    lag.since_s = now_s
    return True


def apply_peer_changes(
    propagation: ConfigurationPropagation, contents: list[bytes]
) -> None:
    """Apply changes that came from a peer.

    If one of them can't be decoded, a warning is logged; the changes before it
    have been applied.

    :param propagation: The state of the propagation, whose replica is updated.
    :param contents: The encoded changes, in order.
    """
    replica = propagation.follower.replica
    try:
        apply_changes(replica, contents)
    except RecordsError as error:
        log_event(
            logger, logging.WARNING, "changes-rejected", error=type(error).__name__
        )
        return
    propagation.follower.is_known = (
        propagation.follower.is_known or replica.revision > 0
    )
    log_event(logger, logging.INFO, "changes-applied", revision=replica.revision)


async def _fetch_all(propagation):
    while propagation.pending_fetches:
        peer, revision = propagation.pending_fetches.popitem()
        if revision > propagation.follower.replica.revision:
            await _fetch(propagation, peer)


async def _fetch(propagation, peer):
    try:
        revision = propagation.follower.replica.revision
        contents = await propagation.fetch_changes(peer, revision)
    except PeerError as error:
        _log_failure("changes-not-fetched", peer, error)
        return
    apply_peer_changes(propagation, contents)


async def _push(propagation, peer, contents):
    try:
        await propagation.push_changes(peer, contents)
    except PeerError as error:
        _log_failure("changes-not-pushed", peer, error)


def _log_failure(event, peer, error):
    log_event(logger, logging.INFO, event, peer=peer, error=type(error).__name__)
