"""The retry budget of an instance that forwards, with its metrics."""

import functools
from collections.abc import Callable
from dataclasses import dataclass, field

from jujubenotch.daemon.forward_parts import InstanceCount
from jujubenotch.dispatch import (
    RetryBounds,
    RetryBudget,
    RetryCredit,
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


@dataclass(kw_only=True)
class ServiceCredits:
    """The credits of one instance, and what their bounds depend on.

    :param read_settings: Returns the settings in force.
    :param count: The number of instances.
    :param metrics: Count what each service earns and spends.
    :param started_s: When the instance started, monotonic, in seconds.
    :param by_service: The credit of each service that a request has come for.
    """

    read_settings: Callable[[], ForwarderSettings]
    count: InstanceCount
    metrics: Metrics
    started_s: float
    by_service: dict[str, RetryCredit] = field(default_factory=dict)


def make_retry_budget(credits: ServiceCredits) -> RetryBudget:
    """Make the operations of the budget.

    :param credits: The credits; changed in place.
    """
    return RetryBudget(
        may_retry=functools.partial(_may_retry, credits),
        record_request=functools.partial(_record_request, credits),
        record_retry_end=functools.partial(_record_retry_end, credits),
        describe=functools.partial(_describe, credits),
    )


def _read_bounds(credits):
    settings = credits.read_settings()
    count = credits.count
    return RetryBounds(
        ratio=settings.retry_ratio,
        extra=settings.retry_extra,
        window_s=settings.retry_window_s,
        instances=count.possible if count.is_known else 0,
    )


def _find_credit(credits, service, bounds):
    if service not in credits.by_service:
        credits.by_service[service] = make_credit(bounds, credits.started_s)
    return credits.by_service[service]


def _record_request(credits, service, now_s):
    bounds = _read_bounds(credits)
    record_request(_find_credit(credits, service, bounds), bounds, now_s)
    count_retry_budget(credits.metrics, service, RetryBudgetEvent.REQUEST)


def _may_retry(credits, service, now_s):
    credits.count.wanted.set()
    bounds = _read_bounds(credits)
    is_allowed = spend_retry(_find_credit(credits, service, bounds), bounds, now_s)
    event = RetryBudgetEvent.RETRY if is_allowed else RetryBudgetEvent.DENIED
    count_retry_budget(credits.metrics, service, event)
    return is_allowed


def _record_retry_end(credits, service, end, now_s):
    bounds = _read_bounds(credits)
    record_retry_end(_find_credit(credits, service, bounds), bounds, end, now_s)
    if end is RetryEnd.NOT_SENT:
        count_retry_budget(credits.metrics, service, RetryBudgetEvent.RETURNED)


def _describe(credits, service, now_s):
    bounds = _read_bounds(credits)
    credit = _find_credit(credits, service, bounds)
    update_credit(credit, bounds, now_s)
    return {
        "credit": round(credit.balance, 3),
        "recent_requests": credit.requests.total,
        "unsettled": credit.unsettled,
        "retry_ratio": bounds.ratio,
        "retry_extra": bounds.extra,
        "instances": bounds.instances,
    }
