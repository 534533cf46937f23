"""Keeps the configuration in force at this instance."""

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
    """The replica of the configuration and the platform that it follows.

    :param is_known: Whether any source has told the configuration yet.
    :param platform_is_up: Whether the platform answered the last poll.
    :param platform_heard_s: When it last answered a poll, monotonic, in
        seconds; ``None`` when it never did.
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
    """Put the records of files in force on the embedded platform.

    :param keeper: The keeper.
    :param paths: TOML files.
    :param change_id: The id of this change.
    :raises DaemonError: A file can't be read or the records are wrong.
    """
    edit = parse_documents(read_files(paths))
    if not isinstance(edit, InvalidRecords):
        request = ChangeRequest(change_id=change_id, edit=edit)
        edit = await submit_change(keeper.store, request)
    if isinstance(edit, InvalidRecords):
        raise DaemonError("\n".join(str(problem) for problem in edit.problems))
    if not isinstance(edit, (Accepted, Unchanged)):
        raise DaemonError(f"records: {edit}")
    await poll_once(keeper)


def read_files(paths: tuple[str, ...]) -> dict[str, str]:
    """Read the files of records.

    :param paths: TOML files.
    :returns: Their texts by their names.
    :raises DaemonError: A file can't be read.
    """
    try:
        return {path: Path(path).read_text() for path in paths}
    except (OSError, UnicodeDecodeError) as error:
        raise DaemonError(f"records: {error}") from error


async def poll_once(keeper: ConfigurationKeeper) -> None:
    """Catch up with the platform; an outage leaves all as it is.

    :param keeper: The keeper.
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
    """Poll the platform until cancelled.

    :param keeper: The keeper.
    """
    while True:
        await asyncio.sleep(POLL_INTERVAL_S)
        await poll_once(keeper)
