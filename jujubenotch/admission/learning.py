"""Updates the estimates of a pool from the reports of finished work."""

from jujubenotch.admission.concurrency import observe_between_tokens
from jujubenotch.admission.state import HeldSlot, Pool, UpstreamUsage
from jujubenotch.estimates import update_mean
from jujubenotch.routing import record_first_token, record_latency, record_result
from jujubenotch.work import WorkReport, WorkResult


def learn_from_report(
    pool: Pool,
    usage: UpstreamUsage,
    held: HeldSlot,
    report: WorkReport,
    now_s: float,
) -> None:
    """Update holding time, concurrency limit, latency and health from one report.

    :param pool: The pool.
    :param usage: The usage of the upstream that did the work.
    :param held: The slot that was released.
    :param report: The report on the work.
    :param now_s: The present monotonic time, in seconds.
    """
    _update_hold_time(pool, held, report, now_s)
    _update_concurrency_limit(usage, held, report, now_s)
    _update_speed(pool, usage, held, report, now_s)
    record_result(
        usage.health,
        report.result,
        started_s=held.started_s,
        now_s=now_s,
        is_probe=held.is_probe,
    )


def _update_hold_time(pool, held, report, now_s):
    target = pool.targets.get(held.target)
    if target is not None and report.result is WorkResult.COMPLETED:
        demand = target.demands[held.tier]
        hold_s = max(0.0, now_s - held.started_s)
        update_mean(demand.hold_s, hold_s)
        update_mean(demand.hold_s_squared, hold_s**2)


def _update_concurrency_limit(usage, held, report, now_s):
    if report.between_tokens_s is None:
        return
    observe_between_tokens(
        usage.limit,
        report.between_tokens_s,
        target_s=held.between_tokens_target_s,
        slots=usage.slots,
        started_s=held.started_s,
        now_s=now_s,
    )


def _update_speed(pool, usage, held, report, now_s):
    record_latency(usage.latency, report, now_s)
    record_latency(pool.group_latency, report, now_s)
    if held.is_prefix_hit is not None and report.first_token_s is not None:
        record_first_token(
            pool.affinity, report.first_token_s, is_hit=held.is_prefix_hit
        )
