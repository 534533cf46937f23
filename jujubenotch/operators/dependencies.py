"""What the operators' interface needs of the instance."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from jujubenotch.operators.documents import (
    InstanceDocument,
    StatusDocument,
    UpstreamDocument,
)
from jujubenotch.outcomes import ChangeRefusalReason
from jujubenotch.records import ConfigurationStore
from jujubenotch.traces import Trace

MAX_BODY_BYTES = 32 * 1024 * 1024
MAX_HEADER_BYTES = 16 * 1024


@dataclass(frozen=True, kw_only=True)
class OperatorLimits:
    """Bounds on what an operator may send.

    :param body_timeout_s: For the head and body of one request.
    :param idle_timeout_s: For an idle connection.

    >>> OperatorLimits(max_body_bytes=1000).max_header_bytes
    16384
    """

    max_body_bytes: int = MAX_BODY_BYTES
    max_header_bytes: int = MAX_HEADER_BYTES
    body_timeout_s: float = 30.0
    idle_timeout_s: float = 75.0


@dataclass(frozen=True, kw_only=True)
class OperatorDependencies:
    """What the operators' interface needs of the instance.

    :param store: Commits changes of the records; its replica answers queries.
    :param read_key_digests: Returns the SHA-256 digests of operators' keys.
    :param metrics_need_key: Whether reading the metrics needs a key.
    :param is_ready: Tells whether the instance takes new requests.
    :param explain: Finds the trace of a request, here or at the instance that
        took it; ``None`` when it isn't known.
    :param drain: Lets this instance remember that an upstream gets no new work,
        and tell its peers; ``False`` takes that back. Used while the records
        can't be changed.
    :param render_metrics: Takes an ``Accept`` header; returns body and type.
    :param count_rejection: Counts a change that was not made.
    :param count_authentication_failure: Counts a wrong key.
    """

    store: ConfigurationStore
    read_key_digests: Callable[[], tuple[str, ...]]
    metrics_need_key: bool
    is_ready: Callable[[], bool]
    read_status: Callable[[], StatusDocument]
    read_upstreams: Callable[[], list[UpstreamDocument]]
    read_instances: Callable[[], list[InstanceDocument]]
    explain: Callable[[str], Awaitable[Trace | None]]
    drain: Callable[[str, bool], Awaitable[None]]
    render_metrics: Callable[[str], tuple[bytes, str]]
    count_rejection: Callable[[ChangeRefusalReason], None]
    count_authentication_failure: Callable[[], None]
