import bisect
import random

from behave import given, then, when

from features.retries.drawn_history import BoundedSite, play

SEEDS = (1, 2, 3)
REPLACED_WITHIN_S = 10.0


@given(
    "{instances:d} instances with {rate:g} requests a second each, which may repeat "
    "{ratio:g} of them and {extra:g} in {window_s:g} s"
)
def make_sites(context, instances, rate, ratio, extra, window_s):
    context.sites = [
        BoundedSite(
            instances=instances,
            rate_per_s=rate,
            ratio=ratio,
            extra=extra,
            window_s=window_s,
            random=random.Random(seed),
        )
        for seed in SEEDS
    ]


@given("half of the instances run the build before this one")
def run_earlier_build_at_half(context):
    for site in context.sites:
        site.earlier = set(range(0, site.instances, 2))


@given("all instances run the build before this one")
def run_earlier_build(context):
    for site in context.sites:
        site.earlier = set(range(site.instances))


@when("{seconds:g} s pass with {share:g} of all sends failing")
def fail_share(context, seconds, share):
    for site in context.sites:
        play(site, seconds, fails=lambda now_s: share)


@when(
    "{seconds:g} s pass with all upstreams silent for {silence_s:g} s each {each_s:g} s"
)
def fall_silent(context, seconds, silence_s, each_s):
    for site in context.sites:
        play(
            site,
            seconds,
            fails=lambda now_s: 1.0 if now_s % each_s < silence_s else 0.0,
            arrives_s=lambda now_s: now_s - now_s % each_s + silence_s,
        )


@when("{seconds:g} s pass with all failing and each instance replaced in turn")
def replace_all(context, seconds):
    replace_while_failing(context, seconds, 1.0)


@when(
    "{seconds:g} s pass with {share:g} of all sends failing and each instance replaced in "
    "turn"
)
def replace_while_failing(context, seconds, share):
    for site in context.sites:
        play(site, seconds, fails=lambda now_s: share, lives_s=REPLACED_WITHIN_S)


@when(
    "{seconds:g} s pass with all failing and each instance crashing each {lives_s:g} s"
)
def crash_all(context, seconds, lives_s):
    for site in context.sites:
        play(site, seconds, fails=lambda now_s: 1.0, lives_s=lives_s)


@when(
    "{seconds:g} s pass with all failing in two bursts of requests {apart_s:g} s apart"
)
def send_bursts(context, seconds, apart_s):
    for site in context.sites:
        play(
            site,
            seconds,
            fails=lambda now_s: 1.0,
            rate=lambda now_s: 40.0 if now_s % apart_s < 0.3 else 1.0,
        )


@then("no window has more repeats than the bound")
def check_windows(context):
    for site in context.sites:
        site.requests_s.sort()
        site.repeats_s.sort()
        for number, start_s in enumerate(site.repeats_s):
            repeats = _count(site.repeats_s, start_s, site.window_s)
            bound = site.ratio * _count_best(site, start_s) + site.extra
            assert repeats <= bound, (number, start_s, repeats, bound)


def _count_best(site, start_s):
    return max(
        _count(site.requests_s, start_s - before * site.window_s, site.window_s)
        for before in (0, 0.5, 1)
    )


def _count(times_s, start_s, length_s):
    first = bisect.bisect_left(times_s, start_s)
    return bisect.bisect_left(times_s, start_s + length_s) - first


@then("at least {share:g} of the failed sends were repeated")
def check_repeated(context, share):
    for site in context.sites:
        repeated = len(site.repeats_s) / site.failures
        assert repeated >= share, repeated
