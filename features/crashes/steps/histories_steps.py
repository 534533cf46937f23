from behave import given, then, when

from features.crashes.fleet import Plan, run_history

CONTACT_S = 3.0
TURN_S = 4.0
FAULTS = {
    "kills_s": (3.0, 4.0, 4.5, 5.2, 6.1, 7.0),
    "cuts_s": (3.3, 5.0, 6.5),
}
FEW_REQUESTS = {
    "bad_topics": {"bad-0": 0.0},
    "companions": {"bad-0": "first-0"},
    "sound_per_s": 6.0,
    "bad_per_s": 12.0,
    "duration_s": 30.0,
}
FEW = "a bad part comes from the start with a sound one, beside few other requests"
EARLY_KILLS_S = (0.5, 1.0, 1.5, 2.0, 2.5)
WHATS = {
    "one part is bad": {"bad_topics": {"bad-0": 2.0}},
    "one request is bad": {"bad_topics": {}, "bad_requests": {"r-bad-0": 2.0}},
    "a part and a request are bad, and upstreams are killed": {
        "bad_topics": {"bad-0": 2.0},
        "bad_requests": {"r-bad-0": 2.3},
        "kills_s": FAULTS["kills_s"],
    },
    "two parts are bad at once": {"bad_topics": {"bad-0": 2.0, "bad-1": 2.2}},
    "a bad part always comes with a sound one": {
        "bad_topics": {"bad-0": 2.0},
        "companions": {"bad-0": "first-0"},
    },
    FEW: FEW_REQUESTS,
    f"{FEW}, and upstreams are killed": {**FEW_REQUESTS, "kills_s": EARLY_KILLS_S},
    f"{FEW}, and instances are cut off": {**FEW_REQUESTS, "cuts_s": (1.0, 2.0, 3.0)},
    f"{FEW}, and upstreams are killed and instances start again": {
        **FEW_REQUESTS,
        "kills_s": EARLY_KILLS_S,
        "restarts_s": (1.0, 2.0, 3.0),
    },
    "a part turns bad after many good responses": {
        "bad_topics": {"bad-0": TURN_S},
        "turns_bad": True,
    },
    "upstreams are killed and instances are cut off": {
        "bad_topics": {"bad-0": 2.0},
        **FAULTS,
    },
    "messages are lost and instances restart": {
        "bad_topics": {"bad-0": 2.0},
        "loss_share": 0.2,
        "restarts_s": (3.0, 4.0, 6.0),
    },
    "no part is bad, upstreams are killed and instances are cut off": {
        "bad_topics": {},
        **FAULTS,
    },
}


@given(
    "histories of {instances:d} instances and {upstreams:d} upstreams in which {what}"
)
def plan_histories(context, instances, upstreams, what):
    scale = upstreams / 9
    rates = {"sound_per_s": 80.0 * scale, "bad_per_s": 4.0 * scale}
    context.plan = Plan(
        instances=instances, upstreams=upstreams, **(rates | WHATS[what])
    )


@when("the histories of {count:d} seeds are played")
def play_histories(context, count):
    context.fleets = {
        seed: run_history(context.plan, seed) for seed in range(1, count + 1)
    }


@then(
    "at most {count:d} requests with a bad content were sent later than {delay:d} s after "
    "it had to be known"
)
def check_blocked(context, count, delay):
    for seed, fleet in context.fleets.items():
        for part, crashes_s in fleet.crashes_s.items():
            needed = find_needed_crashes(fleet, part)
            if len(crashes_s) < needed:
                continue
            late = [
                each
                for each in fleet.outcomes
                if part in each.suspects
                and each.is_sent
                and each.at_s > crashes_s[needed - 1] + delay
            ]
            assert len(late) <= count, (seed, part, len(late), crashes_s)


def find_needed_crashes(fleet, content):
    """Return after how many crashes a content must be known."""
    return 3 if content in fleet.plan.bad_requests else 5


@then(
    "from {delay:d} s after the crashes on at least {share:d} in 10 sound requests of "
    "each first part were sent"
)
def check_sound(context, delay, share):
    for seed, fleet in context.fleets.items():
        last_s = max(
            (times[min(4, len(times) - 1)] for times in fleet.crashes_s.values()),
            default=0.0,
        )
        shares = find_sent_shares(fleet, last_s + delay)
        assert all(10 * each >= share for each in shares.values()), (
            seed,
            shares,
            [each.evidence.blocks for each in fleet.instances[:2]],
        )


def find_sent_shares(fleet, after_s):
    counts = {}
    for each in fleet.outcomes:
        if each.is_bad or each.at_s <= after_s:
            continue
        sent, total = counts.get(each.suspects[0], (0, 0))
        counts[each.suspects[0]] = (sent + each.is_sent, total + 1)
    return {first: sent / total for first, (sent, total) in counts.items()}


@then("at least {share:d} in 100 requests were sent")
def check_all_sent(context, share):
    for seed, fleet in context.fleets.items():
        sent = sum(each.is_sent for each in fleet.outcomes)
        assert 100 * sent >= share * len(fleet.outcomes), (
            seed,
            sent,
            len(fleet.outcomes),
            [each.evidence.blocks for each in fleet.instances[:2]],
        )
