"""The account of one group of upstreams: who waits, who runs, what is free."""

from dataclasses import dataclass, field

from jujubenotch.admission.model import (
    Grant,
    LoadReport,
    WorkReport,
    WorkRequest,
)
from jujubenotch.invariants import assert_invariant
from jujubenotch.outcomes import Refusal, RefusalReason
from jujubenotch.records import Limits, Upstream

TIERS = 4
RETRY_AFTER_S = 1.0


@dataclass(frozen=True, kw_only=True)
class RefusedRequest:
    """A request that left the queue without a slot."""

    request_id: str
    refusal: Refusal


@dataclass(frozen=True, kw_only=True)
class PoolSummary:
    """What others need to know of a pool.

    :param queued: Requests that wait, by tier.
    :param in_progress: Requests that run, by tier.
    :param free_slots: Requests that could start at once.
    :param wait_s: Estimated wait of a new request by its tier, in seconds.
    """

    queued: tuple[int, ...]
    in_progress: tuple[int, ...]
    free_slots: int
    wait_s: tuple[float, ...]


@dataclass(kw_only=True)
class UpstreamAccount:
    """The slots of one upstream.

    :param slots: Requests that this pool may run on it.
    :param is_configured: False once the records dropped it.
    """

    record: Upstream
    slots: int
    running: int = 0
    is_leaving: bool = False
    is_configured: bool = True


@dataclass(kw_only=True)
class HeldSlot:
    """A slot that was granted and not released yet."""

    grant: Grant
    tier: int
    team: str
    started_s: float


@dataclass(kw_only=True)
class Pool:
    """The queues and the slot account of one group of upstreams.

    Made by :func:`make_pool`, changed only by the functions of this package.

    :param name: The group's name.
    :param home: The instance that keeps the account; empty for a fallback.
    :param id_prefix: Starts each grant's id; unique over all instances.
    """

    name: str
    home: str
    id_prefix: str
    limits: Limits = field(default_factory=Limits)
    power_watts: float | None = None
    upstreams: dict[str, UpstreamAccount] = field(default_factory=dict)
    queued: dict[str, WorkRequest] = field(default_factory=dict)
    held: dict[str, HeldSlot] = field(default_factory=dict)
    refused: list[RefusedRequest] = field(default_factory=list)
    grants_made: int = 0


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
) -> None:
    """Give a pool its upstreams and limits; grants stay as they are.

    :param pool: The pool.
    :param upstreams: The group's upstreams.
    :param limits: The limits in force.
    :param power_watts: Power that the pool's running requests may take, in
        watts; ``None`` is no cap.
    :param share: The part of slots and power that this pool may use.
    :param now_s: The present monotonic time, in seconds.
    """
    pool.limits = limits
    pool.power_watts = None if power_watts is None else power_watts * share
    for account in pool.upstreams.values():
        account.is_configured = False
    for record in upstreams:
        slots = max(1, int(record.slots * share))
        account = pool.upstreams.get(record.name)
        if account is None:
            pool.upstreams[record.name] = UpstreamAccount(record=record, slots=slots)
            continue
        account.record = record
        account.slots = slots
        account.is_configured = True
    _drop_unused(pool)


def enqueue(pool: Pool, request: WorkRequest, now_s: float) -> Refusal | None:
    """Queue a request.

    Room is made at the cost of the lowest tier: its newest request leaves, and
    :func:`expire` reports it.

    :param pool: The pool.
    :param request: The request.
    :param now_s: The present monotonic time, in seconds.
    :returns: ``None`` when queued, else a refusal.
    """
    if not _find_serving(pool, request.target):
        return Refusal(
            reason=RefusalReason.NO_UPSTREAM,
            retry_after_s=RETRY_AFTER_S,
            detail=f"no upstream in service for {request.target!r}; come back",
        )
    if len(pool.queued) >= pool.limits.queue_requests:
        newest = _find_newest_lowest(pool)
        if newest is None or newest.tier <= request.tier:
            return _refuse_full(pool)
        del pool.queued[newest.request_id]
        pool.refused.append(
            RefusedRequest(request_id=newest.request_id, refusal=_refuse_full(pool))
        )
    pool.queued[request.request_id] = request
    return None


def grant_ready(pool: Pool, now_s: float) -> list[Grant]:
    """Grant slots to all requests that can start now.

    :param pool: The pool.
    :param now_s: The present monotonic time, in seconds.
    :returns: The new grants, most urgent first.
    """
    grants = []
    order = sorted(
        pool.queued.values(), key=lambda request: (request.tier, request.deadline_s)
    )
    for request in order:
        account = _choose(pool, request)
        if account is not None:
            grants.append(_grant(pool, request, account, now_s))
    return grants


def expire(pool: Pool, now_s: float) -> list[RefusedRequest]:
    """Take out the requests that can't be served any more.

    :param pool: The pool.
    :param now_s: The present monotonic time, in seconds.
    :returns: Them, and those that left to make room since the last call.
    """
    refused = pool.refused
    pool.refused = []
    for request in list(pool.queued.values()):
        if request.deadline_s > now_s:
            continue
        del pool.queued[request.request_id]
        refusal = Refusal(
            reason=RefusalReason.DEADLINE_PASSED,
            retry_after_s=RETRY_AFTER_S,
            detail="no slot became free before the deadline; come back",
        )
        refused.append(RefusedRequest(request_id=request.request_id, refusal=refusal))
    return refused


def withdraw(pool: Pool, request_id: str, now_s: float) -> None:
    """Forget a queued request whose caller left.

    :param pool: The pool.
    :param request_id: The request; an unknown one is ignored.
    :param now_s: The present monotonic time, in seconds.
    """
    pool.queued.pop(request_id, None)


def release(pool: Pool, grant_id: str, report: WorkReport, now_s: float) -> None:
    """Take a slot back.

    :param pool: The pool.
    :param grant_id: The grant; an unknown or released one is ignored.
    :param report: What was seen of the work.
    :param now_s: The present monotonic time, in seconds.
    """
    held = pool.held.pop(grant_id, None)
    if held is None:
        return
    account = pool.upstreams[held.grant.upstream]
    account.running -= 1
    assert_invariant(
        account.running >= 0,
        "slots-not-negative",
        pool=pool.name,
        upstream=held.grant.upstream,
    )
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
    account.running += 1
    pool.held[grant.grant_id] = HeldSlot(
        grant=grant, tier=tier, team=team, started_s=started_s
    )


def record_load(pool: Pool, upstream: str, load: LoadReport, now_s: float) -> None:
    """Take in an upstream's own load report.

    :param pool: The pool.
    :param upstream: Its name; an unknown one is ignored.
    :param load: The report.
    :param now_s: The present monotonic time, in seconds.
    """
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
    if account is not None:
        account.is_leaving = is_leaving


def next_wakeup_s(pool: Pool, now_s: float) -> float | None:
    """Tell when :func:`expire` and :func:`grant_ready` need to run again.

    :param pool: The pool.
    :param now_s: The present monotonic time, in seconds.
    :returns: A monotonic time in seconds; ``None`` when nothing is due.
    """
    if pool.refused:
        return now_s
    return min((request.deadline_s for request in pool.queued.values()), default=None)


def summarise(pool: Pool, now_s: float) -> PoolSummary:
    """Count what waits, runs and is free.

    :param pool: The pool.
    :param now_s: The present monotonic time, in seconds.
    :returns: The summary.
    """
    queued = [0] * TIERS
    for request in pool.queued.values():
        queued[request.tier] += 1
    in_progress = [0] * TIERS
    for held in pool.held.values():
        in_progress[held.tier] += 1
    free = sum(
        max(0, account.slots - account.running)
        for account in pool.upstreams.values()
        if _is_in_service(account)
    )
    return PoolSummary(
        queued=tuple(queued),
        in_progress=tuple(in_progress),
        free_slots=free,
        wait_s=tuple(0.0 if free else RETRY_AFTER_S for _ in range(TIERS)),
    )


def _is_in_service(account):
    return account.is_configured and not account.is_leaving


def _find_serving(pool, target):
    return [
        account
        for account in pool.upstreams.values()
        if _is_in_service(account) and target in account.record.models
    ]


def _find_newest_lowest(pool):
    return max(
        reversed(pool.queued.values()),
        key=lambda request: request.tier,
        default=None,
    )


def _refuse_full(pool):
    return Refusal(
        reason=RefusalReason.QUEUE_FULL,
        retry_after_s=RETRY_AFTER_S,
        detail=f"{pool.limits.queue_requests} requests wait already; come back",
    )


def _choose(pool, request):
    serving = _find_serving(pool, request.target)
    preferred = [
        account
        for account in serving
        if account.record.name not in request.excluded_upstreams
    ]
    free = [
        account
        for account in preferred or serving
        if account.running < account.slots and _fits_power(pool, account)
    ]
    return min(free, key=lambda account: account.running / account.slots, default=None)


def _fits_power(pool, account):
    if pool.power_watts is None:
        return True
    in_use = sum(
        each.running * each.record.watts_per_slot for each in pool.upstreams.values()
    )
    return in_use + account.record.watts_per_slot <= pool.power_watts


def _grant(pool, request, account, now_s):
    del pool.queued[request.request_id]
    pool.grants_made += 1
    grant = Grant(
        grant_id=f"{pool.id_prefix}/{pool.grants_made}",
        request_id=request.request_id,
        upstream=account.record.name,
        home=pool.home,
    )
    account.running += 1
    pool.held[grant.grant_id] = HeldSlot(
        grant=grant, tier=request.tier, team=request.team, started_s=now_s
    )
    assert_invariant(
        account.running <= account.slots,
        "slots-not-exceeded",
        pool=pool.name,
        upstream=account.record.name,
        running=account.running,
        slots=account.slots,
    )
    return grant


def _drop_unused(pool):
    unused = [
        name
        for name, account in pool.upstreams.items()
        if not account.is_configured and account.running == 0
    ]
    for name in unused:
        del pool.upstreams[name]
