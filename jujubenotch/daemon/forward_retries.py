"""The retry budget of an instance that forwards, with its metrics."""

from collections.abc import Callable

from jujubenotch.daemon.forward_parts import InstanceCount
from jujubenotch.dispatch import (
    RetryBounds,
    RetryBudget,
    RetryEnd,
    make_credit,
    record_request,
    record_retry_end,
    spend_retry,
    update_credit,
)
from jujubenotch.metrics import Metrics, count_retry_budget
from jujubenotch.outcomes import RetryBudgetEvent
from jujubenotch.settings import ForwarderSettings


def make_retry_budget(
    read_settings: Callable[[], ForwarderSettings],
    count: InstanceCount,
    metrics: Metrics,
    started_s: float,
) -> RetryBudget:
    """Make the budget, which has a credit for each service.

    :param read_settings: Returns the settings in force.
    :param count: The number of instances.
    :param metrics: Count what each service earns and spends.
    :param started_s: When the instance started, monotonic, in seconds.
    """
    credits = {}

    def read_bounds():
        settings = read_settings()
        return RetryBounds(
            ratio=settings.retry_ratio,
            extra=settings.retry_extra,
            window_s=settings.retry_window_s,
            instances=count.value if count.is_known else 0,
        )

    def find_credit(service, bounds):
        if service not in credits:
            credits[service] = make_credit(bounds, started_s)
        return credits[service]

    def record_request_now(service, now_s):
        bounds = read_bounds()
        record_request(find_credit(service, bounds), bounds, now_s)
        count_retry_budget(metrics, service, RetryBudgetEvent.REQUEST)

    def may_retry(service, now_s):
        count.wanted.set()
        bounds = read_bounds()
        is_allowed = spend_retry(find_credit(service, bounds), bounds, now_s)
        event = RetryBudgetEvent.RETRY if is_allowed else RetryBudgetEvent.DENIED
        count_retry_budget(metrics, service, event)
        return is_allowed

    def record_end(service, end, now_s):
        bounds = read_bounds()
        record_retry_end(find_credit(service, bounds), bounds, end, now_s)
        if end is RetryEnd.NOT_SENT:
            count_retry_budget(metrics, service, RetryBudgetEvent.RETURNED)

    def describe(service, now_s):
        bounds = read_bounds()
        credit = find_credit(service, bounds)
        update_credit(credit, bounds, now_s)
        return {
            "credit": round(credit.balance, 3),
            "recent_requests": credit.requests.total,
            "unsettled": credit.unsettled,
            "retry_ratio": bounds.ratio,
            "retry_extra": bounds.extra,
            "instances": bounds.instances,
        }

    return RetryBudget(
        may_retry=may_retry,
        record_request=record_request_now,
        record_retry_end=record_end,
        describe=describe,
    )
