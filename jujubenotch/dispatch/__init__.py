"""Runs a caller's request: claim, slot, attempts on upstreams, retries, outcome.

Errors: ``CallerGoneError``; every other failure is returned as a value.
Features: ``features/dispatch``.
"""

from jujubenotch.dispatch.answers import STATUS_BY_REFUSAL
from jujubenotch.dispatch.attempt import keep_end_to_end, read_clock_s
from jujubenotch.dispatch.budget import RetryHistory, may_retry, record_success
from jujubenotch.dispatch.call import (
    Answer,
    Call,
    CallerGoneError,
    Sink,
    find_resume_point,
)
from jujubenotch.dispatch.decide import AttemptEnd, GiveUp, Retry, decide_next
from jujubenotch.dispatch.dispatcher import dispatch, wait_until_idle
from jujubenotch.dispatch.model import Claims, Dispatcher, Observer, RetryBudget
from jujubenotch.dispatch.protocol import AnswerKind, UpstreamProtocol
from jujubenotch.dispatch.silence import Exchanges, watch_exchange

__all__ = [
    "STATUS_BY_REFUSAL",
    "Answer",
    "AnswerKind",
    "AttemptEnd",
    "Call",
    "CallerGoneError",
    "Claims",
    "Dispatcher",
    "Exchanges",
    "GiveUp",
    "Observer",
    "Retry",
    "RetryBudget",
    "RetryHistory",
    "Sink",
    "UpstreamProtocol",
    "decide_next",
    "dispatch",
    "find_resume_point",
    "keep_end_to_end",
    "may_retry",
    "read_clock_s",
    "record_success",
    "wait_until_idle",
    "watch_exchange",
]
