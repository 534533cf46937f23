"""The account of one group of upstreams: who waits, who runs, what is free."""

from collections.abc import Collection

from jujubenotch.admission.learning import learn_from_report
from jujubenotch.admission.queues import add_request, remove_request
from jujubenotch.admission.refusals import (
    make_room,
    refuse_early,
    refuse_hopeless,
    refuse_overdue,
    refuse_queued,
    refuse_unserved,
)
from jujubenotch.admission.reserve import count_arrival
from jujubenotch.admission.shares import (
    MIN_COST_TOKENS,
    charge_start,
    correct_charge,
)
from jujubenotch.admission.slots import (
    give_slot,
    is_served,
    rebuild_targets,
    refresh_capacity,
    take_slot,
)
from jujubenotch.admission.state import (
    HeldSlot,
    Pool,
    RefusedRequest,
    UpstreamAccount,
)
from jujubenotch.outcomes import Refusal
from jujubenotch.records import Limits, Upstream
from jujubenotch.routing import note_restored, record_other_load
from jujubenotch.work import Grant, LoadReport, WorkReport, WorkRequest


def make_pool(*, name: str, home: str, now_s: float, id_prefix: str = "") -> Pool:
    """Make an empty pool without upstreams.

    :param name: The group's name.
    :param home: The instance that keeps the account; empty for a fallback.
    :param now_s: The present monotonic time, in seconds.
    :param id_prefix: Starts each grant's id; needed where ``home`` is empty.
    :returns: The pool; :func:`configure_pool` gives it its upstreams.
    """
    prefix = id_prefix or f"{home}/{name}/{int(now_s * 1e6):x}"
    return Pool(name=name, home=home, id_prefix=prefix)


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
    """Give a pool its upstreams and limits; grants stay as they are.

    :param pool: The pool.
    :param upstreams: The group's upstreams.
    :param limits: The limits in force.
    :param power_watts: Power that the pool's running requests may take, in
        watts; ``None`` is no cap.
    :param share: The part of slots and power that this pool may use.
    :param now_s: The present monotonic time, in seconds.
    :param tiers: Tiers of the classes that use the group; ``None`` keeps slots
        for every tier. Where no class of an upper tier uses the group, nothing
        is reserved before one is seen.
    """
    pool.limits = limits
    if tiers is not None:
        pool.tiers = frozenset(tiers)
    pool.power_watts = None if power_watts is None else power_watts * share
    for account in pool.upstreams.values():
        account.is_configured = False
    for record in upstreams:
        _configure_upstream(pool, record, share)
    rebuild_targets(pool)
    for account in pool.upstreams.values():
        refresh_capacity(pool, account, now_s)
    _recount_watts(pool)
    _drop_unused(pool)
    _refuse_stranded(pool)


def enqueue(pool: Pool, request: WorkRequest, now_s: float) -> Refusal | None:
    """Queue a request.

    Room is made at the cost of the lowest tier: its newest request leaves, and
    :func:`expire` reports it. A repeat of a request that waits or runs is
    ignored.

    :param pool: The pool.
    :param request: The request.
    :param now_s: The present monotonic time, in seconds.
    :returns: ``None`` when queued, else a refusal.
    """
    if request.request_id in pool.queued or request.request_id in pool.held_requests:
        return None
    if not is_served(pool, request.target):
        return refuse_unserved(request)
    count_arrival(pool, request.target, request.tier, now_s)
    refusal = refuse_early(pool, request, now_s)
    if refusal is None:
        refusal = make_room(pool, request, now_s)
    if refusal is None:
        add_request(pool, request)
    return refusal


def expire(pool: Pool, now_s: float) -> list[RefusedRequest]:
    """Take out the requests that can't be served any more.

    :param pool: The pool.
    :param now_s: The present monotonic time, in seconds.
    :returns: Them, and those that left to make room since the last call.
    """
    refuse_overdue(pool, now_s)
    refuse_hopeless(pool, now_s)
    refused = pool.refused
    pool.refused = []
    return refused


def withdraw(pool: Pool, request_id: str, now_s: float) -> None:
    """Forget a queued request whose caller left.

    :param pool: The pool.
    :param request_id: The request; an unknown one is ignored.
    :param now_s: The present monotonic time, in seconds.
    """
    queued = pool.queued.get(request_id)
    if queued is not None:
        remove_request(pool, queued)


def release(pool: Pool, grant_id: str, report: WorkReport, now_s: float) -> None:
    """Take a slot back.

    :param pool: The pool.
    :param grant_id: The grant; an unknown or released one is ignored.
    :param report: What was seen of the work.
    :param now_s: The present monotonic time, in seconds.
    """
    held = pool.held.get(grant_id)
    if held is None:
        return
    pool.sequence += 1
    account = pool.upstreams[held.grant.upstream]
    give_slot(pool, account, held, now_s)
    correct_charge(pool, held, report)
    learn_from_report(pool, account, held, report, now_s)
    refresh_capacity(pool, account, now_s)
    if not account.is_configured and not account.running:
        _drop_unused(pool)


def restore(
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
    """Enter a slot that a holder reports into a new home's account.

    It may exceed the upstream's slots, since the former home granted it.

    :param pool: The pool.
    :param grant: The grant; a known one and one on an unknown upstream are
        ignored.
    :param target: The model or plain service that it is for.
    :param team: Its team.
    :param service_class: Its class.
    :param tier: Its tier.
    :param started_s: When it was granted, on this process's monotonic clock.
    :param now_s: The present monotonic time, in seconds.
    :param team_weight: The team's weight.
    :param expected_tokens: Estimated length of the answer, in tokens.
    """
    account = pool.upstreams.get(grant.upstream)
    if account is None or grant.grant_id in pool.held:
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
        watts=account.record.watts_per_slot,
    )
    take_slot(pool, account, held, now_s)
    note_restored(account.others)
    refresh_capacity(pool, account, now_s)


def record_load(pool: Pool, upstream: str, load: LoadReport, now_s: float) -> None:
    """Take in an upstream's own load report.

    :param pool: The pool.
    :param upstream: Its name; an unknown one is ignored.
    :param load: The report.
    :param now_s: The present monotonic time, in seconds.
    """
    account = pool.upstreams.get(upstream)
    if account is None:
        return
    account.reported_slots = load.slots
    record_other_load(account.others, load, account.running, now_s)
    refresh_capacity(pool, account, now_s)
    if load.is_leaving:
        mark_leaving(pool, upstream, now_s)


def mark_leaving(
    pool: Pool, upstream: str, now_s: float, *, is_leaving: bool = True
) -> None:
    """Grant nothing more on an upstream.

    :param pool: The pool.
    :param upstream: Its name; an unknown one is ignored.
    :param now_s: The present monotonic time, in seconds.
    :param is_leaving: False when it came back under the same name.
    """
    account = pool.upstreams.get(upstream)
    if account is None or account.is_leaving is is_leaving:
        return
    account.is_leaving = is_leaving
    refresh_capacity(pool, account, now_s)
    _refuse_stranded(pool)


def _configure_upstream(pool, record, share):
    slots = max(1, int(record.slots * share))
    account = pool.upstreams.get(record.name)
    if account is None:
        pool.upstreams[record.name] = UpstreamAccount(record=record, slots=slots)
        return
    account.record = record
    account.slots = slots
    account.is_configured = True


def _recount_watts(pool):
    pool.watts_in_use = 0.0
    for held in pool.held.values():
        held.watts = pool.upstreams[held.grant.upstream].record.watts_per_slot
        pool.watts_in_use += held.watts


def _drop_unused(pool):
    unused = [
        name
        for name, account in pool.upstreams.items()
        if not account.is_configured and not account.running
    ]
    if not unused:
        return
    for name in unused:
        del pool.upstreams[name]
        pool.ejected.pop(name, None)
    rebuild_targets(pool)


def _refuse_stranded(pool):
    unserved: Collection[str] = {
        target
        for lanes in pool.lanes
        for target in lanes
        if not is_served(pool, target)
    }
    if not unserved:
        return
    for queued in list(pool.queued.values()):
        if queued.request.target in unserved:
            refuse_queued(pool, queued, refuse_unserved(queued.request))
