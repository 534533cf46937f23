"""Operations on a pool: the queues and the slot allocation of a group of upstreams."""

from collections.abc import Collection

from jujubenotch.admission.learning import learn_from_report
from jujubenotch.admission.queues import add_request, remove_request
from jujubenotch.admission.refusals import (
    make_room,
    make_unserved_refusal,
    refuse_expired,
    refuse_on_arrival,
    refuse_queued,
    refuse_unreachable,
)
from jujubenotch.admission.reserve import count_arrival
from jujubenotch.admission.shares import (
    MIN_COST_TOKENS,
    charge_start,
    correct_charge,
)
from jujubenotch.admission.slots import (
    free_slot,
    is_served,
    rebuild_targets,
    refresh_capacity,
    take_slot,
)
from jujubenotch.admission.state import (
    HeldSlot,
    Pool,
    RefusedRequest,
    UpstreamUsage,
)
from jujubenotch.outcomes import Refusal
from jujubenotch.records import Limits, Upstream
from jujubenotch.routing import record_external_load, subtract_restored_request
from jujubenotch.work import Grant, LoadReport, WorkReport, WorkRequest


def make_pool(
    *, name: str, coordinator: str, now_s: float, id_prefix: str = ""
) -> Pool:
    """Make an empty pool without upstreams.

    :param name: The name of the group of upstreams.
    :param coordinator: The instance that keeps the slot allocation; empty when an
        instance grants slots from its own conservative share instead.
    :param now_s: The present monotonic time, in seconds.
    :param id_prefix: Prefix of each grant's id; required when ``coordinator`` is empty.
    :returns: The pool; :func:`configure_pool` adds the upstreams.
    """
    prefix = id_prefix or f"{coordinator}/{name}/{int(now_s * 1e6):x}"
    return Pool(name=name, coordinator=coordinator, id_prefix=prefix)


def configure_pool(
    pool: Pool,
    *,
    upstreams: list[Upstream],
    limits: Limits,
    power_watts: float | None,
    share: float = 1.0,
    now_s: float,
    tiers: Collection[int] | None = None,
) -> None:
    """Set a pool's upstreams and limits; existing grants are kept.

    :param pool: The pool.
    :param upstreams: The group's upstreams.
    :param limits: The limits in force.
    :param power_watts: The power cap of the pool's running requests, in watts;
        ``None`` means no cap.
    :param share: The fraction of slots and power that this pool may use.
    :param now_s: The present monotonic time, in seconds.
    :param tiers: Tiers of the classes that use the group; ``None`` leaves the
        tiers as they are, which in a new pool are all tiers. If no class of an
        upper tier uses the group, no slots are reserved until a request of an
        upper tier arrives.
    """
    pool.limits = limits
    if tiers is not None:
        pool.tiers = frozenset(tiers)
    pool.power_watts = None if power_watts is None else power_watts * share
    for usage in pool.upstreams.values():
        usage.is_configured = False
    for record in upstreams:
        _configure_upstream(pool, record, share)
    rebuild_targets(pool)
    for usage in pool.upstreams.values():
        refresh_capacity(pool, usage, now_s)
    _recount_watts(pool)
    _drop_unused(pool)
    _refuse_unserved_requests(pool)


def enqueue(pool: Pool, request: WorkRequest, now_s: float) -> Refusal | None:
    """Queue a request.

    When the queue is full, the newest request of the lowest waiting tier is
    refused to make room, and :func:`refuse_unservable` returns that refusal. A
    duplicate of a request that already waits or runs is ignored.

    :param pool: The pool.
    :param request: The request.
    :param now_s: The present monotonic time, in seconds.
    :returns: ``None`` when the request was queued or is a duplicate, otherwise
        a refusal.
    """
    if request.request_id in pool.queued or request.request_id in pool.held_requests:
        return None
    if not is_served(pool, request.target):
        return make_unserved_refusal(request)
    count_arrival(pool, request.target, request.tier, now_s)
    refusal = refuse_on_arrival(pool, request, now_s)
    if refusal is None:
        refusal = make_room(pool, request, now_s)
    if refusal is None:
        add_request(pool, request)
    return refusal


def refuse_unservable(pool: Pool, now_s: float) -> list[RefusedRequest]:
    """Remove the queued requests that can't be served in time any more.

    :param pool: The pool.
    :param now_s: The present monotonic time, in seconds.
    :returns: The queued requests that were refused since the last call,
        including those refused to make room for others.
    """
    refuse_expired(pool, now_s)
    refuse_unreachable(pool, now_s)
    refused = pool.refused
    pool.refused = []
    return refused


def withdraw(pool: Pool, request_id: str, now_s: float) -> None:
    """Remove a queued request whose caller has disconnected.

    :param pool: The pool.
    :param request_id: The request's id; an id that is not queued is ignored.
    :param now_s: The present monotonic time, in seconds.
    """
    queued = pool.queued.get(request_id)
    if queued is not None:
        remove_request(pool, queued)


def release_grant(pool: Pool, grant_id: str, report: WorkReport, now_s: float) -> None:
    """Release the slot of a grant and learn from the report on its work.

    :param pool: The pool.
    :param grant_id: The grant's id; an unknown or released grant is ignored.
    :param report: The report on the work.
    :param now_s: The present monotonic time, in seconds.
    """
    held = pool.held.get(grant_id)
    if held is None:
        return
    pool.sequence += 1
    usage = pool.upstreams[held.grant.upstream]
    free_slot(pool, usage, held, now_s)
    correct_charge(pool, held, report)
    learn_from_report(pool, usage, held, report, now_s)
    refresh_capacity(pool, usage, now_s)
    if not usage.is_configured and not usage.running:
        _drop_unused(pool)


def restore_grant(
    pool: Pool,
    *,
    grant: Grant,
    target: str,
    team: str,
    service_class: str,
    tier: int,
    started_s: float,
    now_s: float,
    team_weight: float = 1.0,
    expected_tokens: int = 0,
) -> None:
    """Add a held slot to the slot allocation after the coordinator has changed.

    The instance that holds the grant reports the slot to the new coordinator. Since
    the previous coordinator granted the slot, the running requests may then exceed
    the upstream's slots.

    :param pool: The pool.
    :param grant: The grant; a grant that is already known, or whose upstream
        is unknown, is ignored.
    :param target: The model or plain service that the request needs.
    :param team: The request's team.
    :param service_class: The request's class.
    :param tier: The request's tier.
    :param started_s: Time of the grant on this process's monotonic clock, in
        seconds.
    :param now_s: The present monotonic time, in seconds.
    :param team_weight: The team's weight in fair queueing.
    :param expected_tokens: Estimated length of the answer, in tokens.
    """
    usage = pool.upstreams.get(grant.upstream)
    if usage is None or grant.grant_id in pool.held:
        return
    cost = max(MIN_COST_TOKENS, expected_tokens)
    held = HeldSlot(
        grant=grant,
        target=target,
        team=charge_start(pool, team=team, tier=tier, weight=team_weight, cost=cost),
        service_class=service_class,
        tier=tier,
        started_s=started_s,
        cost=cost,
        watts=usage.record.watts_per_slot,
    )
    take_slot(pool, usage, held, now_s)
    subtract_restored_request(usage.external_load)
    refresh_capacity(pool, usage, now_s)


def record_load(pool: Pool, upstream: str, load: LoadReport, now_s: float) -> None:
    """Record a load report that an upstream sent about itself.

    :param pool: The pool.
    :param upstream: The upstream's name; an unknown upstream is ignored.
    :param load: The report.
    :param now_s: The present monotonic time, in seconds.
    """
    usage = pool.upstreams.get(upstream)
    if usage is None:
        return
    usage.reported_slots = load.slots
    record_external_load(usage.external_load, load, usage.running, now_s)
    refresh_capacity(pool, usage, now_s)
    if load.is_leaving:
        mark_leaving(pool, upstream, now_s)


def mark_leaving(
    pool: Pool, upstream: str, now_s: float, *, is_leaving: bool = True
) -> None:
    """Mark an upstream as leaving, so that it gets no new grants.

    Queued requests whose target no other upstream in service serves are refused.

    :param pool: The pool.
    :param upstream: The upstream's name; an unknown upstream is ignored.
    :param now_s: The present monotonic time, in seconds.
    :param is_leaving: False when the upstream is back in service under the same
        name.
    """
    usage = pool.upstreams.get(upstream)
    if usage is None or usage.is_leaving is is_leaving:
        return
    usage.is_leaving = is_leaving
    refresh_capacity(pool, usage, now_s)
    _refuse_unserved_requests(pool)


def _configure_upstream(pool, record, share):
    slots = max(1, int(record.slots * share))
    usage = pool.upstreams.get(record.name)
    if usage is None:
        pool.upstreams[record.name] = UpstreamUsage(record=record, slots=slots)
        return
    usage.record = record
    usage.slots = slots
    usage.is_configured = True


def _recount_watts(pool):
    pool.watts_in_use = 0.0
    for held in pool.held.values():
        held.watts = pool.upstreams[held.grant.upstream].record.watts_per_slot
        pool.watts_in_use += held.watts


def _drop_unused(pool):
    unused = [
        name
        for name, usage in pool.upstreams.items()
        if not usage.is_configured and not usage.running
    ]
    if not unused:
        return
    for name in unused:
        del pool.upstreams[name]
        pool.ejected.pop(name, None)
    rebuild_targets(pool)


def _refuse_unserved_requests(pool):
    unserved: Collection[str] = {
        target
        for target_queues in pool.target_queues
        for target in target_queues
        if not is_served(pool, target)
    }
    if not unserved:
        return
    for queued in list(pool.queued.values()):
        if queued.request.target in unserved:
            refuse_queued(pool, queued, make_unserved_refusal(queued.request))
