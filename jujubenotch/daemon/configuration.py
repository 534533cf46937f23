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
    poll_platform,
    submit_change,
)
from jujubenotch.tables import PlatformClient, PlatformError

logger = logging.getLogger(__name__)

POLL_INTERVAL_S = 1.0
START_TIMEOUT_S = 5.0
EMBEDDED_CHANGE_ID = "embedded-records"


@dataclass(kw_only=True)
class ConfigurationFollower:
    """A replica of the configuration and the platform from which it is read.

    :param is_known: Whether a configuration has been read from any source yet.
    :param is_platform_up: Whether the platform replied to the last poll.
    :param last_platform_reply_s: Time of the platform's last reply to a poll, on the
        monotonic clock, in seconds; ``None`` before the first reply.
    """

    platform: PlatformClient
    replica: ConfigurationReplica
    store: ConfigurationStore
    is_known: bool = False
    is_platform_up: bool = False
    last_platform_reply_s: float | None = None


async def load_embedded_records(
    follower: ConfigurationFollower, paths: tuple[str, ...], change_id: str
) -> None:
    """Submit the records in files to the embedded platform and apply them.

    :param follower: The follower, whose store commits the change.
    :param paths: The paths of the TOML files.
    :param change_id: The id of this change.
    :raises DaemonError: A file can't be read or the records are invalid.
    """
    edit = parse_documents(read_files(paths))
    if not isinstance(edit, InvalidRecords):
        request = ChangeRequest(change_id=change_id, edit=edit)
        edit = await submit_change(follower.store, request)
    if isinstance(edit, InvalidRecords):
        raise DaemonError("\n".join(str(problem) for problem in edit.problems))
    if not isinstance(edit, (Accepted, Unchanged)):
        raise DaemonError(f"the records were not accepted: {edit}")
    await poll_once(follower)


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


async def poll_once(follower: ConfigurationFollower) -> None:
    """Read the platform's new changes; during an outage the configuration stays.

    :param follower: The follower, whose replica is updated.
    """
    was_up = follower.is_platform_up
    try:
        await poll_platform(follower.replica, follower.platform)
    except (PlatformError, RecordsError, TimeoutError) as error:
        follower.is_platform_up = False
        if was_up or not follower.is_known:
            log_event(
                logger,
                logging.WARNING,
                "platform-unavailable",
                error=type(error).__name__,
            )
        return
    follower.is_platform_up = True
    follower.last_platform_reply_s = asyncio.get_running_loop().time()
    follower.is_known = True
    if not was_up:
        log_event(logger, logging.INFO, "platform-available")


async def run_polls(follower: ConfigurationFollower) -> None:
    """Poll the platform until this task is cancelled.

    :param follower: The follower, whose replica is updated.
    """
    while True:
        await asyncio.sleep(POLL_INTERVAL_S)
        await poll_once(follower)
