"""Runs a caller's request: slot, claim, attempts on upstreams, retries, outcome.

Errors: ``CallerDisconnectedError``; every other failure is returned as a value.
Features: ``features/dispatch``.
"""

from jujubenotch.dispatch.answers import (
    STATUS_BY_REFUSAL,
    make_give_up_answer,
    make_refusal_answer,
)
from jujubenotch.dispatch.attempt import run_attempt
from jujubenotch.dispatch.attempt_state import Attempt, read_clock_s
from jujubenotch.dispatch.budget import RetryHistory, may_retry, record_success
from jujubenotch.dispatch.call import (
    Answer,
    Call,
    CallerDisconnectedError,
    ConfigurationBasis,
    Progress,
    Sink,
    describe_configuration,
    find_resume_point,
    find_target,
)
from jujubenotch.dispatch.decide import (
    AttemptResult,
    GiveUp,
    Retry,
    decide_next,
    make_give_up,
    record_attempt,
    record_send,
)
from jujubenotch.dispatch.dispatcher import dispatch, wait_until_idle
from jujubenotch.dispatch.follow_attempt import digest_call
from jujubenotch.dispatch.model import Claims, Dispatcher, Observer, RetryBudget
from jujubenotch.dispatch.process_check import ProcessChecks
from jujubenotch.dispatch.protocol import AnswerKind, UpstreamProtocol
from jujubenotch.dispatch.receive import remove_hop_by_hop_headers
from jujubenotch.dispatch.shared_budget import (
    RetryBounds,
    RetryCredit,
    RetryEnd,
    make_credit,
    record_request,
    record_retry_end,
    spend_retry,
    update_credit,
)
from jujubenotch.dispatch.silence import ExchangeRegistry, watch_exchange
from jujubenotch.dispatch.time_limit import (
    TimeLimit,
    bound_deadline,
    limit_wait,
    set_limit,
)
from jujubenotch.dispatch.work_request import make_work_request

__all__ = [
    "make_work_request",
    "STATUS_BY_REFUSAL",
    "Answer",
    "AnswerKind",
    "Attempt",
    "AttemptResult",
    "Call",
    "CallerDisconnectedError",
    "Claims",
    "ConfigurationBasis",
    "describe_configuration",
    "Dispatcher",
    "ExchangeRegistry",
    "GiveUp",
    "Observer",
    "ProcessChecks",
    "Progress",
    "Retry",
    "RetryBounds",
    "RetryBudget",
    "RetryCredit",
    "RetryEnd",
    "RetryHistory",
    "Sink",
    "TimeLimit",
    "limit_wait",
    "set_limit",
    "UpstreamProtocol",
    "bound_deadline",
    "decide_next",
    "digest_call",
    "dispatch",
    "find_resume_point",
    "find_target",
    "make_credit",
    "make_give_up",
    "make_give_up_answer",
    "make_refusal_answer",
    "may_retry",
    "read_clock_s",
    "record_attempt",
    "record_request",
    "record_retry_end",
    "record_send",
    "record_success",
    "remove_hop_by_hop_headers",
    "run_attempt",
    "spend_retry",
    "update_credit",
    "wait_until_idle",
    "watch_exchange",
]
