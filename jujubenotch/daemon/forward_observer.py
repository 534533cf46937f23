"""Counts forwarded calls and logs one line for each decision on a call."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

from jujubenotch.dispatch import (
    Answer,
    Call,
    ConfigurationBasis,
    describe_configuration,
    read_clock_s,
)
from jujubenotch.logs import log_event
from jujubenotch.metrics import (
    Metrics,
    count_failure,
    count_outcome,
    count_refusal,
    count_retry,
    observe_first_token,
)
from jujubenotch.outcomes import FailureReason, Outcome, Refusal, RefusalReason
from jujubenotch.work import WorkReport

logger = logging.getLogger(__name__)

# The arrival's fields are repeated in the request's other log lines, and the
# dispatcher logs a retry itself.
UNLOGGED_EVENTS = frozenset({"arrived", "retried"})


@dataclass(kw_only=True)
class ForwardObserver:
    """Counts and logs the calls of one instance.

    :param metrics: The instance's metrics.
    :param read_basis: Returns the configuration in force; ``None`` before the first
        one. Lines of a call that was matched with another one name that.

    >>> observer = ForwardObserver(metrics=make_metrics(), read_basis=lambda: None)
    >>> observer.count_retry("silent")
    """

    metrics: Metrics
    read_basis: Callable[[], ConfigurationBasis | None]

    def record(self, request_id: str, event: str, **fields) -> None:
        """Log a decision on a request.

        :param request_id: The request's id.
        :param event: The event's name.
        :param fields: The values on which the decision is based; empty strings
            are not logged.
        """
        if event in UNLOGGED_EVENTS:
            return
        fields = describe_configuration(self.read_basis()) | fields
        log_event(
            logger,
            logging.INFO,
            f"request-{event}",
            request_id=request_id,
            **{name: value for name, value in fields.items() if value != ""},
        )

    def count_retry(self, reason: str) -> None:
        """Count a retry of a call.

        :param reason: Why the call is sent again.
        """
        count_retry(self.metrics, reason)

    def record_refusal(self, request_id: str, refusal: Refusal) -> None:
        """Count and log a request that was refused before it was dispatched.

        :param request_id: The request's id.
        :param refusal: The refusal, with its reason.
        """
        count_refusal(self.metrics, refusal.reason)
        count_outcome(self.metrics, Outcome.NOT_RUN, "")
        self._log_end(
            request_id, Outcome.NOT_RUN, refusal.reason, refusal.retry_after_s
        )

    def count_end(self, call: Call, answer: Answer, report: WorkReport | None) -> None:
        """Count and log the outcome of a call.

        :param call: The call.
        :param answer: The response to the caller.
        :param report: What was measured on the last attempt; ``None``
            without an attempt.
        """
        name = call.service_class.name
        now_s = read_clock_s()
        count_outcome(self.metrics, answer.outcome, name)
        if isinstance(answer.reason, RefusalReason):
            count_refusal(self.metrics, answer.reason, call.service_class.tier)
        elif isinstance(answer.reason, FailureReason):
            count_failure(self.metrics, answer.reason)
        if report is not None and report.first_token_s is not None:
            observe_first_token(self.metrics, name, report.first_token_s)
        self._log_end(
            call.request_id,
            answer.outcome,
            answer.reason or "none",
            answer.retry_after_s,
            status=answer.status,
            route=name,
            service=call.target,
            team=call.team.name,
            priority=call.service_class.tier,
            took_s=round(now_s - call.arrived_s, 4),
            left_s=round(call.deadline_s - now_s, 4),
            **describe_configuration(call.basis),
        )

    def _log_end(self, request_id, outcome, reason, retry_after_s, **fields):
        fields = describe_configuration(self.read_basis()) | fields
        log_event(
            logger,
            logging.INFO,
            "request-ended",
            request_id=request_id,
            outcome=outcome,
            reason=reason,
            retry_after_s=retry_after_s,
            **fields,
        )
