"""The measurements and the result of one attempt on one upstream."""

import asyncio
from dataclasses import dataclass

from jujubenotch.dispatch.call import Answer
from jujubenotch.dispatch.decide import WORK_RESULTS, AttemptResult
from jujubenotch.streams import StreamOrigin
from jujubenotch.work import WorkReport


@dataclass(kw_only=True)
class Attempt:
    """The measurements and the result of one attempt.

    :param sent_at_s: The monotonic time of the send, in seconds.
    :param end: How the attempt ended; ``None`` while it is in progress.
    :param answer: The complete response, or the status of a completed stream.
    :param tokens: The number of tokens received.
    :param first_token_at_s: The monotonic time of the first event, in seconds;
        0 before it.
    :param last_token_at_s: The monotonic time of the latest event, in seconds;
        0 before the first one.
    :param head_at_s: The monotonic time at which the head of the response arrived,
        in seconds; 0 before it.
    :param origin: Where a stream that begins with this attempt has its origin.
    :param process: The process that the request was sent to; empty when unknown.
    :param error: What the connection's error says; empty without one.
    :param is_broken_off: Whether the connection ended before the response did.
    """

    sent_at_s: float
    end: AttemptResult | None = None
    answer: Answer | None = None
    tokens: int = 0
    first_token_at_s: float = 0.0
    last_token_at_s: float = 0.0
    head_at_s: float = 0.0
    origin: StreamOrigin | None = None
    process: str = ""
    error: str = ""
    is_broken_off: bool = False

    @property
    def heard_s(self) -> float:
        """When the upstream last sent something, monotonic, in seconds; 0 before."""
        return max(self.head_at_s, self.last_token_at_s)


def report_attempt(attempt: Attempt) -> WorkReport:
    """Make the report that is passed on when the slot is released.

    :param attempt: An attempt that has ended.
    :returns: The report; its durations are in seconds.
    """
    first_token_s = None
    between_tokens_s = None
    if attempt.tokens:
        first_token_s = attempt.first_token_at_s - attempt.sent_at_s
    if attempt.last_token_at_s > attempt.first_token_at_s and attempt.tokens > 1:
        span_s = attempt.last_token_at_s - attempt.first_token_at_s
        between_tokens_s = span_s / (attempt.tokens - 1)
    return WorkReport(
        result=WORK_RESULTS[attempt.end],
        tokens=attempt.tokens,
        first_token_s=first_token_s,
        between_tokens_s=between_tokens_s,
    )


def read_clock_s() -> float:
    """Read the monotonic clock of the running event loop.

    :returns: The time in seconds.
    """
    return asyncio.get_running_loop().time()
