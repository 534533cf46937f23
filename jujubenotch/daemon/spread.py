"""Takes later revisions of the configuration from peers."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from jujubenotch.daemon.configuration import ConfigurationKeeper
from jujubenotch.logs import log_event
from jujubenotch.peers import PeerError
from jujubenotch.records import RecordsError, apply_changes

logger = logging.getLogger(__name__)

FetchChanges = Callable[[str, int], Awaitable[list[bytes]]]


@dataclass(kw_only=True)
class ConfigurationSpread:
    """Fetches from one peer at a time whatever is later than in force here.

    :param fetch_changes: Asks a peer for the changes after a revision.

    >>> spread = ConfigurationSpread(keeper=keeper)
    >>> see_revision(spread, 17, "b2")
    """

    keeper: ConfigurationKeeper
    fetch_changes: FetchChanges | None = None
    task: asyncio.Task | None = None
    waiting: dict[str, int] = field(default_factory=dict)


def see_revision(spread: ConfigurationSpread, revision: int, peer: str) -> None:
    """Note the revision in force at a peer, and fetch it if it is later.

    :param spread: The spread.
    :param revision: The peer's revision.
    :param peer: The peer's name.
    """
    if revision <= spread.keeper.replica.revision or spread.fetch_changes is None:
        return
    spread.waiting[peer] = revision
    if spread.task is None or spread.task.done():
        spread.task = asyncio.create_task(_fetch_all(spread))


async def _fetch_all(spread):
    while spread.waiting:
        peer, revision = spread.waiting.popitem()
        if revision > spread.keeper.replica.revision:
            await _fetch(spread, peer)


async def _fetch(spread, peer):
    replica = spread.keeper.replica
    try:
        contents = await spread.fetch_changes(peer, replica.revision)
        apply_changes(replica, contents)
    except (PeerError, RecordsError) as error:
        log_event(
            logger,
            logging.WARNING,
            "changes-not-fetched",
            peer=peer,
            error=type(error).__name__,
        )
        return
    spread.keeper.is_known = True
    log_event(
        logger,
        logging.INFO,
        "changes-fetched",
        peer=peer,
        revision=replica.revision,
    )
