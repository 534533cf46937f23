"""The parts of an instance that the operator API uses."""

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
    """The limits on requests to the operator API.

    :param body_timeout_s: The longest pause between received bytes of a
        request's head (Sanic's request timeout), in seconds.
    :param idle_timeout_s: The longest time that a connection may stay idle, in
        seconds.

    >>> OperatorLimits(max_body_bytes=1000).max_header_bytes
    16384
    """

    max_body_bytes: int = MAX_BODY_BYTES
    max_header_bytes: int = MAX_HEADER_BYTES
    body_timeout_s: float = 30.0
    idle_timeout_s: float = 75.0


@dataclass(frozen=True, kw_only=True)
class OperatorDependencies:
    """The parts of an instance that the operator API uses.

    :param store: The store that commits changes of the records; queries read its
        replica.
    :param read_key_digests: Returns the SHA-256 digests of the operators' keys.
    :param metrics_need_key: Whether ``/metrics`` requires an operator's key.
    :param is_ready: Returns whether the instance accepts new requests.
    :param find_trace: Returns the trace of a request, from this instance or from the
        one that received the request; ``None`` if no trace is found.
    :param set_local_drain: Takes the name of an upstream and a flag. With True, this
        instance keeps a drain of the upstream in memory and announces it to the
        peers, for the time in which the records can't be changed; with False, it
        ends such a drain.
    :param render_metrics: Takes an ``Accept`` header; returns the body and its
        content type.
    :param count_rejection: Counts a change that was not made.
    :param count_authentication_failure: Counts a request without a valid key.
    """

    store: ConfigurationStore
    read_key_digests: Callable[[], tuple[str, ...]]
    metrics_need_key: bool
    is_ready: Callable[[], bool]
    read_status: Callable[[], StatusDocument]
    read_upstreams: Callable[[], list[UpstreamDocument]]
    read_instances: Callable[[], list[InstanceDocument]]
    find_trace: Callable[[str], Awaitable[Trace | None]]
    set_local_drain: Callable[[str, bool], Awaitable[None]]
    render_metrics: Callable[[str], tuple[bytes, str]]
    count_rejection: Callable[[ChangeRefusalReason], None]
    count_authentication_failure: Callable[[], None]
