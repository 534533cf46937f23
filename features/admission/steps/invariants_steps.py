from behave import then, when
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from pool_steps import make_request, make_upstream

from jujubenotch.admission import (
    Grant,
    LoadReport,
    WorkReport,
    WorkResult,
    compute_next_wakeup_s,
    configure_pool,
    enqueue,
    grant_ready,
    make_pool,
    mark_leaving,
    record_load,
    refuse_unservable,
    release_grant,
    restore_grant,
    summarise,
    withdraw,
)
from jujubenotch.invariants import read_violations
from jujubenotch.records import Limits

NAMES = ("e1", "e2", "e3")
MODELS = {"e1": "m", "e2": "m,n", "e3": "n"}
WATTS = {"e1": 100, "e2": 60, "e3": 0}
runs = {"ended": 0}


class PoolMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now_s = 1000.0
        self.number = 0
        self.waiting = {}
        self.granted = {}
        self.restored = {name: 0 for name in NAMES}
        self.former_violations = read_violations()
        self.pool = make_pool(name="group", coordinator="i1", now_s=self.now_s)
        self.configure(slots=3, names=3, watts=400, queue=40)

    @rule(
        slots=st.integers(1, 4),
        names=st.integers(1, 3),
        watts=st.sampled_from([None, 100, 250, 400]),
        queue=st.sampled_from([3, 10, 40]),
    )
    def configure(self, slots, names, watts, queue):
        rows = [
            {
                "name": name,
                "models": MODELS[name],
                "slots": slots,
                "watts_per_slot": WATTS[name],
            }
            for name in NAMES[:names]
        ]
        configure_pool(
            self.pool,
            upstreams=[make_upstream(row) for row in rows],
            limits=Limits(queue_requests=queue),
            power_watts=watts,
            now_s=self.now_s,
        )
        self.expire_and_grant()

    @rule(
        tiers=st.lists(st.integers(0, 3), min_size=1, max_size=12),
        model=st.sampled_from("mn"),
        team=st.sampled_from("abc"),
        limit=st.sampled_from([0, 0, 1, 2]),
        deadline_s=st.sampled_from([0.5, 3, 8, 20]),
        excluded=st.sampled_from(["", "e1", "e2 e3"]),
    )
    def arrive(self, tiers, model, team, limit, deadline_s, excluded):
        for tier in tiers:
            self.number += 1
            row = {
                "id": f"r{self.number}",
                "tier": tier,
                "target": model,
                "team": team,
                "team_limit": limit,
                "deadline_s": deadline_s,
                "max_wait_s": 4,
                "excluded": excluded,
                "between_tokens_target_s": 0.05,
            }
            request = make_request(row, self.now_s)
            if enqueue(self.pool, request, self.now_s) is None:
                self.waiting[request.request_id] = request
        self.expire_and_grant()

    @rule(data=st.data(), result=st.sampled_from(list(WorkResult)))
    def end_work(self, data, result):
        if not self.granted:
            return
        grant_id = data.draw(st.sampled_from(sorted(self.granted)))
        grant = self.granted.pop(grant_id)
        if grant.coordinator != "i1":
            self.restored[grant.upstream] -= 1
        report = WorkReport(
            result=result,
            tokens=data.draw(st.integers(0, 500)),
            first_token_s=data.draw(st.sampled_from([None, 0.1, 2.0])),
            between_tokens_s=data.draw(st.sampled_from([None, 0.01, 0.1])),
        )
        for _ in range(2):
            release_grant(self.pool, grant_id, report, self.now_s)
        self.expire_and_grant()

    @rule(rounds=st.integers(1, 12), seconds=st.sampled_from([0.1, 1.0]))
    def work_off(self, rounds, seconds):
        for _ in range(rounds):
            self.now_s += seconds
            for grant_id in list(self.granted):
                grant = self.granted.pop(grant_id)
                if grant.coordinator != "i1":
                    self.restored[grant.upstream] -= 1
                report = WorkReport(result=WorkResult.COMPLETED, tokens=50)
                release_grant(self.pool, grant_id, report, self.now_s)
            self.expire_and_grant()

    @rule(data=st.data())
    def withdraw(self, data):
        if self.waiting:
            request_id = data.draw(st.sampled_from(sorted(self.waiting)))
            del self.waiting[request_id]
            withdraw(self.pool, request_id, self.now_s)

    @rule(upstream=st.sampled_from(NAMES), is_leaving=st.booleans())
    def leave(self, upstream, is_leaving):
        mark_leaving(self.pool, upstream, self.now_s, is_leaving=is_leaving)
        self.expire_and_grant()

    @rule(
        upstream=st.sampled_from(NAMES),
        running=st.integers(0, 6),
        age_s=st.sampled_from([0.0, 2.0, 10.0]),
    )
    def report_load(self, upstream, running, age_s):
        load = LoadReport(running=running, waiting=0, slots=4, age_s=age_s)
        record_load(self.pool, upstream, load, self.now_s)
        self.expire_and_grant()

    @rule(upstream=st.sampled_from(NAMES), tier=st.integers(0, 3))
    def restore(self, upstream, tier):
        self.number += 1
        grant = Grant(
            grant_id=f"former/{self.number}",
            request_id=f"former{self.number}",
            upstream=upstream,
            coordinator="i0",
        )
        restore_grant(
            self.pool,
            grant=grant,
            target="m",
            team="a",
            service_class=f"class{tier}",
            tier=tier,
            started_s=self.now_s,
            now_s=self.now_s,
        )
        if grant.grant_id in self.pool.held:
            self.granted[grant.grant_id] = grant
            self.restored[upstream] += 1

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.0, 40.0]))
    def pass_time(self, seconds):
        self.now_s += seconds
        self.expire_and_grant()

    def expire_and_grant(self):
        for refused in refuse_unservable(self.pool, self.now_s):
            self.waiting.pop(refused.request_id)
        for grant in grant_ready(self.pool, self.now_s):
            request = self.waiting.pop(grant.request_id)
            assert grant.grant_id not in self.granted, grant
            usage = self.pool.upstreams[grant.upstream]
            assert request.target in usage.record.models, grant
            assert usage.is_configured and not usage.is_leaving, grant
            self.granted[grant.grant_id] = grant

    @invariant()
    def check_counts(self):
        pool = self.pool
        assert set(pool.queued) == set(self.waiting)
        assert set(pool.held) == set(self.granted)
        summary = summarise(pool, self.now_s)
        assert sum(summary.queued) == len(self.waiting), summary
        assert sum(summary.in_progress) == len(self.granted), summary
        for target in pool.targets.values():
            usages = target.usages
            assert target.free == sum(usage.free for usage in usages)
            assert target.slots == sum(usage.capacity for usage in usages)
            held = [slot for slot in pool.held.values() if slot.target == target.name]
            assert sum(target.running_by_tier) == len(held)
        watts = sum(slot.watts for slot in pool.held.values())
        assert abs(watts - pool.watts_in_use) < 1e-6

    @invariant()
    def check_no_violation(self):
        assert read_violations() == self.former_violations, read_violations()

    @invariant()
    def check_wakeup(self):
        wakeup_s = compute_next_wakeup_s(self.pool, self.now_s)
        assert wakeup_s is not None or not self.waiting

    def teardown(self):
        for grant_id in list(self.granted):
            report = WorkReport(result=WorkResult.COMPLETED, tokens=10)
            release_grant(self.pool, grant_id, report, self.now_s)
        for request_id in list(self.waiting):
            withdraw(self.pool, request_id, self.now_s)
        assert not self.pool.held and not self.pool.queued
        assert self.pool.watts_in_use == 0
        runs["ended"] += 1


@when("random events are applied to pools")
def drive_pools(context):
    runs["ended"] = 0
    case = PoolMachine.TestCase
    case.settings = settings(
        derandomize=True,
        database=None,
        max_examples=300,
        stateful_step_count=30,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    case().runTest()


@then("no invariant was violated")
def check_no_violation(context):
    assert not read_violations(), read_violations()


@then("every random run was completed")
def check_runs(context):
    assert runs["ended"] >= 300, runs
