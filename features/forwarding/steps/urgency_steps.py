from types import SimpleNamespace

from behave import given, then, when

from jujubenotch.forwarding.placement import Choice, UpstreamState
from jujubenotch.forwarding.shedding import LongPrompts, shed_long_prompt
from jujubenotch.forwarding.urgency import RecentTiers, is_spared, record_tier
from jujubenotch.work import ChoiceBasis


def record_all(context, tiers, now_s):
    for tier in tiers.split(","):
        record_tier(context.recent, int(tier), now_s)


@given("long prompts came with the tiers {tiers}")
def record_first(context, tiers):
    context.recent = RecentTiers()
    record_all(context, tiers, now_s=1.0)


@when("{seconds:d} s pass and long prompts come with the tiers {tiers}")
def record_later(context, seconds, tiers):
    record_all(context, tiers, now_s=1.0 + seconds)


@then("a long prompt of tier {tier:d} is {verdict}")
def check_spared(context, tier, verdict):
    if verdict in ("granted", "refused"):
        refusal = shed(context, tier)
        assert (refusal is None) is (verdict == "granted"), refusal
        return
    assert is_spared(context.recent, tier) is (verdict == "spared"), context.recent


@given("9 upstreams, those for short prompts full, and most long prompts of tier 2")
def make_long_prompts(context):
    context.long_prompts = LongPrompts()
    for tier in (2, 2, 2, 1):
        record_tier(context.long_prompts.recent, tier, 1.0)


def shed(context, tier):
    basis = ChoiceBasis(
        load=3.0,
        lowest_load=3.0,
        report_age_s=0.1,
        candidates=5,
        prefix_rank=None,
    )
    return shed_long_prompt(
        context.long_prompts,
        SimpleNamespace(tier=tier, target="drafting", request_id="r", deadline_s=9.0),
        Choice(state=UpstreamState(name="i-1", slots=48), basis=basis),
        is_short_full=True,
        is_shared=False,
        now_s=1.0,
    )
