"""HTTP exchanges with upstreams, event streams and load reports.

Errors: ``UpstreamError`` and its subclasses. Features: ``features/upstreams``.
"""

from jujubenotch.upstreams.carried import RequestName
from jujubenotch.upstreams.connections import (
    ConnectionLimits,
    UpstreamConnections,
    close_connections,
    open_connections,
)
from jujubenotch.upstreams.connector import CleanConnector
from jujubenotch.upstreams.errors import (
    AnswerTooLargeError,
    ConnectFailedError,
    ConnectionLostError,
    SilentUpstreamError,
    UpstreamError,
)
from jujubenotch.upstreams.events import (
    END_MARKER,
    EventBuffer,
    read_last_id,
    repeats_events,
    take_complete_events,
)
from jujubenotch.upstreams.exchange import (
    UpstreamAnswer,
    UpstreamRequest,
    check_not_truncated,
    hold_response,
    open_exchange,
    read_body,
    read_bounded,
    translate_errors,
)
from jujubenotch.upstreams.held_bytes import hold_while_alive, record_held
from jujubenotch.upstreams.load import read_load
from jujubenotch.upstreams.probe import (
    ProcessState,
    check_process,
    keeps_connections,
    read_report,
)

__all__ = [
    "END_MARKER",
    "AnswerTooLargeError",
    "CleanConnector",
    "ConnectFailedError",
    "ConnectionLimits",
    "ConnectionLostError",
    "EventBuffer",
    "ProcessState",
    "RequestName",
    "SilentUpstreamError",
    "UpstreamAnswer",
    "UpstreamConnections",
    "UpstreamError",
    "UpstreamRequest",
    "check_not_truncated",
    "check_process",
    "close_connections",
    "hold_response",
    "hold_while_alive",
    "keeps_connections",
    "open_connections",
    "open_exchange",
    "read_body",
    "read_bounded",
    "read_last_id",
    "read_report",
    "read_load",
    "record_held",
    "repeats_events",
    "take_complete_events",
    "translate_errors",
]
