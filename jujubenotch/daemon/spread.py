"""Spreads later revisions of the configuration between peers.

Whoever hears of a later revision fetches it. Whoever hears of an earlier one
that stays pushes what is missing, for a peer may be dialled that can't dial.
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
    """A peer that has an earlier revision in force.

    :param revision: That revision.
    :param since_s: Since when it has been seen, monotonic, in seconds.
    """

    revision: int
    since_s: float


@dataclass(kw_only=True)
class ConfigurationSpread:
    """Fetches from one peer at a time what is later, pushes to those that lag.

    :param fetch_changes: Asks a peer for the changes after a revision.
    :param push_changes: Gives a peer changes that it lacks.

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
    """Note the revision in force at a peer; fetch what is later, push what lacks.

    :param spread: The spread.
    :param revision: The peer's revision.
    :param peer: The peer's name.
    :param now_s: The present monotonic time, in seconds.
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
    """Tell whether a peer has stayed behind long enough for a push.

    :param spread: The spread.
    :param revision: The peer's revision, which is below the own one.
    :param peer: The peer's name.
    :param now_s: The present monotonic time, in seconds.
    :returns: True once for each time that a push is due.
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
    """Put changes in force that came from a peer.

    :param spread: The spread.
    :param contents: The changes, in order; none when they can't be read.
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
