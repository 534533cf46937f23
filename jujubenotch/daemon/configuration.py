"""Follows the platform's configuration and applies its changes at this instance."""

import asyncio
import logging
from dataclasses import dataclass
from pathlib import Path

from jujubenotch.daemon.errors import DaemonError
from jujubenotch.logs import log_event
from jujubenotch.records import (
    Accepted,
    ChangeRequest,
    ConfigurationReplica,
    ConfigurationStore,
    InvalidRecords,
    RecordsError,
    Unchanged,
    parse_documents,
    poll,
    submit_change,
)
from jujubenotch.tables import Platform, PlatformError

logger = logging.getLogger(__name__)

POLL_INTERVAL_S = 1.0
START_TIMEOUT_S = 5.0
EMBEDDED_CHANGE_ID = "embedded-records"


@dataclass(kw_only=True)
class ConfigurationKeeper:
    """A replica of the configuration and the platform from which it is read.

    :param is_known: Whether a configuration has been read from any source yet.
    :param platform_is_up: Whether the platform replied to the last poll.
    :param platform_heard_s: Time of the platform's last reply to a poll, on the
        monotonic clock, in seconds; ``None`` before the first reply.
    """

    platform: Platform
    replica: ConfigurationReplica
    store: ConfigurationStore
    is_known: bool = False
    platform_is_up: bool = False
    platform_heard_s: float | None = None


async def load_embedded_records(
    keeper: ConfigurationKeeper, paths: tuple[str, ...], change_id: str
) -> None:
    """Submit the records in files to the embedded platform and apply them.

    :param keeper: The keeper, whose store commits the change.
    :param paths: The paths of the TOML files.
    :param change_id: The id of this change.
    :raises DaemonError: A file can't be read or the records are invalid.
    """
    edit = parse_documents(read_files(paths))
    if not isinstance(edit, InvalidRecords):
        request = ChangeRequest(change_id=change_id, edit=edit)
        edit = await submit_change(keeper.store, request)
    if isinstance(edit, InvalidRecords):
        raise DaemonError("\n".join(str(problem) for problem in edit.problems))
    if not isinstance(edit, (Accepted, Unchanged)):
        raise DaemonError(f"the records were not accepted: {edit}")
    await poll_once(keeper)


def read_files(paths: tuple[str, ...]) -> dict[str, str]:
    """Read files that contain records.

    :param paths: The paths of the TOML files.
    :returns: The text of each file by its path.
    :raises DaemonError: A file can't be read.
    """
    try:
        return {path: Path(path).read_text() for path in paths}
    except (OSError, UnicodeDecodeError) as error:
        raise DaemonError(f"can't read the records file: {error}") from error


async def poll_once(keeper: ConfigurationKeeper) -> None:
    """Read the platform's new changes; a failed poll leaves the replica unchanged.

    :param keeper: The keeper, whose replica is updated.
    """
    was_up = keeper.platform_is_up
    try:
        await poll(keeper.replica, keeper.platform)
    except (PlatformError, RecordsError, TimeoutError) as error:
        keeper.platform_is_up = False
        if was_up or not keeper.is_known:
            log_event(
                logger,
                logging.WARNING,
                "platform-unavailable",
                error=type(error).__name__,
            )
        return
    keeper.platform_is_up = True
    keeper.platform_heard_s = asyncio.get_running_loop().time()
    keeper.is_known = True
    if not was_up:
        log_event(logger, logging.INFO, "platform-available")


async def run_polls(keeper: ConfigurationKeeper) -> None:
    """Poll the platform until this task is cancelled.

    :param keeper: The keeper, whose replica is updated.
    """
    while True:
        await asyncio.sleep(POLL_INTERVAL_S)
        await poll_once(keeper)
