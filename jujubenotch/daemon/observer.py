"""Records the progress of calls in metrics, traces and log lines."""

import logging
from dataclasses import dataclass

from jujubenotch.admission import WorkReport
from jujubenotch.dispatch import Answer, Call, read_clock_s
from jujubenotch.logs import log_event
from jujubenotch.metrics import (
    Metrics,
    count_authentication_failure,
    count_failure,
    count_outcome,
    count_refusal,
    count_retry,
    observe_between_tokens,
    observe_first_token,
)
from jujubenotch.outcomes import FailureReason, Outcome, RefusalReason, RetryReason
from jujubenotch.traces import Traces, record_event

logger = logging.getLogger(__name__)


@dataclass(kw_only=True)
class CallObserver:
    """Counts, traces and logs the calls of one instance.

    :param metrics: The instance's metrics.
    :param traces: The traces of the instance's recent requests.

    >>> observer = CallObserver(metrics=make_metrics(), traces=make_traces())
    >>> observer.count_retry(RetryReason.SILENT)
    """

    metrics: Metrics
    traces: Traces

    def record(self, request_id: str, event: str, **fields) -> None:
        """Add an event to a request's trace.

        :param request_id: The request's id.
        :param event: The event's name.
        :param fields: The event's fields.
        """
        record_event(self.traces, request_id, event, read_clock_s(), **fields)

    def count_retry(self, reason: RetryReason) -> None:
        """Count a retry.

        :param reason: Why the request is sent again.
        """
        count_retry(self.metrics, reason)

    def count_early_refusal(self, reason: RefusalReason) -> None:
        """Count a request that was refused before its class was known.

        :param reason: Why it was refused.
        """
        count_refusal(self.metrics, reason)
        count_outcome(self.metrics, Outcome.NOT_RUN, "")
        if reason is RefusalReason.AUTHENTICATION:
            count_authentication_failure(self.metrics, "callers")

    def count_end(self, call: Call, answer: Answer, report: WorkReport | None) -> None:
        """Count, trace and log the outcome of a call.

        :param call: The call.
        :param answer: The response to the caller.
        :param report: What was measured on the last attempt; ``None``
            without an attempt.
        """
        name = call.service_class.name
        count_outcome(self.metrics, answer.outcome, name)
        if isinstance(answer.reason, RefusalReason):
            count_refusal(self.metrics, answer.reason, call.service_class.tier)
        elif isinstance(answer.reason, FailureReason):
            count_failure(self.metrics, answer.reason)
        if report is not None and answer.outcome is Outcome.COMPLETED:
            self._observe_times(call, name, report)
        self.record(
            call.request_id,
            "ended",
            outcome=str(answer.outcome),
            reason=str(answer.reason or ""),
        )
        self._log_end(call, answer)

    def _observe_times(self, call, name, report):
        now_s = read_clock_s()
        if report.between_tokens_s is not None:
            observe_between_tokens(self.metrics, name, report.between_tokens_s)
        after_first_token_s = (report.between_tokens_s or 0.0) * max(
            0, report.tokens - 1
        )
        first_token_s = now_s - call.arrived_s - after_first_token_s
        observe_first_token(self.metrics, name, max(0.0, first_token_s))

    def _log_end(self, call, answer):
        is_expected = answer.outcome in (Outcome.COMPLETED, Outcome.NOT_RUN)
        log_event(
            logger,
            logging.INFO if is_expected else logging.WARNING,
            "request-ended",
            request_id=call.request_id,
            team=call.team.name,
            service_class=call.service_class.name,
            target=call.target,
            outcome=answer.outcome,
            reason=answer.reason or "none",
        )
