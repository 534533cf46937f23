"""Runs one attempt of a call on one upstream."""

from collections.abc import Callable

from jujubenotch.dispatch.attempt_state import Attempt, read_clock_s
from jujubenotch.dispatch.call import Call, Progress, Sink
from jujubenotch.dispatch.decide import AttemptResult
from jujubenotch.dispatch.protocol import UpstreamProtocol
from jujubenotch.dispatch.receive import Receiver, StreamRestartedError, receive
from jujubenotch.dispatch.silence_limit import Leaving, limit_silence
from jujubenotch.records import Upstream
from jujubenotch.upstreams import (
    AnswerTooLargeError,
    ConnectFailedError,
    ConnectionLostError,
    RequestName,
    SilentUpstreamError,
    UpstreamAnswer,
    UpstreamConnections,
    UpstreamRequest,
    open_exchange,
)

MAX_ERROR_LENGTH = 160


async def run_attempt(
    connections: UpstreamConnections,
    protocol: UpstreamProtocol,
    upstream: Upstream,
    call: Call,
    progress: Progress,
    attempt: Attempt,
    sink: Sink,
    record_head: Callable[[UpstreamAnswer], None],
    record_stream_start: Callable[[], None],
    leaving: Leaving | None = None,
) -> None:
    """Send a call to an upstream and forward the response.

    :param connections: The connections to upstreams.
    :param protocol: The protocol of the upstream.
    :param upstream: The upstream to send the call to.
    :param call: The call.
    :param progress: The call's progress; changed in place.
    :param attempt: The attempt; its end and measurements are set here.
    :param sink: Receives the events of a stream.
    :param record_head: Called when the head of the response arrives.
    :param record_stream_start: Called before the head of a stream is forwarded.
    :param leaving: What happens when the upstream has been silent for the call's
        limit; ``None`` ends the attempt.
    :raises CallerDisconnectedError: The caller has disconnected.
    """
    receiver = Receiver(
        connections=connections,
        protocol=protocol,
        call=call,
        progress=progress,
        attempt=attempt,
        sink=sink,
        record_head=record_head,
        record_stream_start=record_stream_start,
    )
    try:
        await _exchange(receiver, upstream, leaving or Leaving())
    except ConnectFailedError as error:
        attempt.end = AttemptResult.CONNECT_FAILED
        attempt.error = str(error)[:MAX_ERROR_LENGTH]
    except SilentUpstreamError:
        attempt.end = AttemptResult.SILENT
    except ConnectionLostError as error:
        attempt.end = AttemptResult.LOST
        attempt.error = str(error)[:MAX_ERROR_LENGTH]
        attempt.is_broken_off = True
    except StreamRestartedError:
        attempt.end = AttemptResult.RESTARTED
    except AnswerTooLargeError:
        attempt.end = AttemptResult.UPSTREAM_ERROR
    if progress.is_stream_started and attempt.end is AttemptResult.LOST:
        attempt.end = AttemptResult.TRUNCATED


async def _exchange(receiver, upstream, leaving):
    """Send the request and receive its response, within the limit on silence."""
    call = receiver.call
    request = make_upstream_request(
        receiver.protocol, upstream, call, receiver.progress
    )
    async with (
        limit_silence(call.silence_timeout_s, leaving) as silence,
        open_exchange(receiver.connections, request) as answer,
    ):
        receiver.attempt.head_at_s = silence.heard_s = read_clock_s()
        receiver.record_head(answer)
        await receive(receiver, answer, silence)


def make_upstream_request(
    protocol: UpstreamProtocol, upstream: Upstream, call: Call, progress: Progress
) -> UpstreamRequest:
    """Make the request for an upstream.

    :param protocol: The protocol of the upstream.
    :param upstream: The upstream that the request is for.
    :param call: The call.
    :param progress: The call's progress; a started stream is resumed.
    :returns: The request.
    """
    name = None
    if call.request_id:
        header = protocol.request_id_header
        name = RequestName(request_id=call.request_id, header=header)
    may_repeat = call.is_idempotent or call.is_cancelled_on_disconnect
    return UpstreamRequest(
        method=call.method,
        url=upstream.url + call.path,
        headers=protocol.write_headers(upstream, call, progress, read_clock_s()),
        body=call.body,
        # A copy of another response would be taken to have no body.
        is_repeatable=may_repeat and call.method != "HEAD",
        is_stream=call.is_stream,
        name=name,
    )
