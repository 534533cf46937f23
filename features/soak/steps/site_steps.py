import asyncio
import tempfile
from dataclasses import replace
from pathlib import Path

from behave import given, then, when

from benchmarks.site.faults import plan_site_faults
from benchmarks.site.model import (
    Arrival,
    CallerRequest,
    ContentCrash,
    FaultSpan,
    Leaving,
    Revocation,
    RouteChange,
    RouteKind,
    SiteFault,
    SiteJournal,
    Statement,
    StreamPart,
)
from benchmarks.site.rules import SITE_RULES
from benchmarks.site.run import run_site_soak
from benchmarks.site.upstreams import make_body, make_event
from benchmarks.soak import check_journals

INSTANCE = "edge-1"
UPSTREAM = "i-plain-0-0"
EVENTS = 3
NAMES = {"instances": ["edge-1", "edge-2"], "endpoints": ["plain-0", "model-0"]}


def add_request(journal, number, kind, *, runs=1, at_s=None, **fields):
    sent_s = number / 2 if at_s is None else at_s
    request_id = f"{number:016x}"
    path = fields.pop("path", f"/{kind}/{EVENTS}")
    is_stream = kind in (RouteKind.STREAM, RouteKind.RESUME)
    events = range(1, EVENTS + 1) if is_stream else ()
    body = b"".join(make_event(request_id, each) for each in events)
    values = {
        "key": "key-1",
        "instance": INSTANCE,
        "ended_s": sent_s + 0.2,
        "deadline_s": sent_s + 3.0,
        "status": 200,
        "body": body or make_body(request_id, path),
        "events": tuple(events),
        "is_whole": True,
        "is_signed": True,
    }
    request = CallerRequest(
        request_id=request_id, kind=kind, path=path, sent_s=sent_s, **values | fields
    )
    journal.told.append(request)
    for _ in range(runs):
        journal.arrivals.append(make_arrival(request))
    return request


def make_arrival(request, **fields):
    arrival = Arrival(
        request_id=request.request_id,
        upstream=UPSTREAM,
        service="plain",
        instance=request.instance,
        at_s=request.sent_s + 0.1,
        is_run=True,
        team="agents",
        wait_s=2.9,
    )
    return replace(arrival, **fields)


def add_fault(journal, kind, begin_s, settled_s, exit_code=None):
    span = FaultSpan(
        kind=kind,
        target=INSTANCE,
        begin_s=begin_s,
        settled_s=settled_s,
        exit_code=exit_code,
    )
    journal.faults.append(span)


def make_journal():
    journal = SiteJournal(teams={"key-1": "agents", "key-2": "agents"}, calm_s=60.0)
    for number in range(80):
        add_request(journal, number, list(RouteKind)[number % len(RouteKind)])
    for number in range(80, 100):
        add_request(journal, number, RouteKind.READ, at_s=65.0 + number / 10)
    return journal


def run_again(kind, times):
    def run(journal):
        request = next(each for each in journal.told if each.kind is kind)
        journal.arrivals += [make_arrival(request)] * times

    return run


def answer(kind, *, runs=1, **fields):
    def add(journal):
        add_request(journal, 500, kind, runs=runs, at_s=50.0, **fields)

    return add


def revoke_and_run(journal):
    journal.revocations.append(Revocation(key="key-2", at_s=44.9))
    add_request(journal, 500, RouteKind.SEND, at_s=50.0, key="key-2")


def run_for_other_team(journal):
    journal.arrivals[-1] = replace(journal.arrivals[-1], team="lawyers")


def send_to_leaving(journal):
    journal.leavings.append(Leaving(upstream="i-gone", at_s=46.9))
    request = add_request(journal, 500, RouteKind.SEND, runs=0, at_s=50.0)
    journal.arrivals.append(make_arrival(request, upstream="i-gone"))


def send_to_leaving_while_cut(journal):
    send_to_leaving(journal)
    add_fault(journal, SiteFault.CUT_STORE, 44.0, 49.0)


def change_route(*, is_added, status):
    def change(journal):
        journal.routes.append(RouteChange(prefix="/extra/", at_s=20.0, is_added=True))
        if not is_added:
            gone = RouteChange(prefix="/extra/", at_s=30.0, is_added=False)
            journal.routes.append(gone)
        at_s = (20.0 if is_added else 30.0) + 3.1
        runs = 1 if status == 200 else 0
        add_request(
            journal,
            500,
            RouteKind.READ,
            runs=runs,
            at_s=at_s,
            path="/extra/1",
            status=status,
        )

    return change


def repeat_often(journal):
    journal.arrivals += [
        make_arrival(request, at_s=10.0, is_run=False)
        for request in journal.told[:20] * 4
    ]


def fail_at_the_end(journal):
    for number in range(600, 604):
        add_request(journal, number, RouteKind.READ, at_s=80.0, status=500)


def lose_answer(journal, kind, *, runs=1):
    add_request(
        journal, 500, RouteKind.SEND, runs=runs, at_s=50.0, status=0, is_whole=False
    )
    add_fault(journal, kind, 49.0, 51.0, exit_code=0)


def state(journal, kind, value, at_s, instance=INSTANCE):
    statement = Statement(
        upstream=UPSTREAM,
        instance=instance,
        kind=kind,
        value=value,
        episode=1,
        at_s=at_s,
    )
    journal.statements.append(statement)


def send_after_statement(kind, value, times_s, *, instance=INSTANCE, fault=None):
    """Let an upstream state something at 40 s, and get requests after that."""

    def add(journal):
        state(journal, kind, value, 40.0, instance)
        if kind is SiteFault.NAME_LIMIT:
            state(journal, kind, value, 48.0, instance)
        if fault is not None:
            journal.faults.append(fault)
        for number, after_s in enumerate(times_s):
            add_request(journal, 500 + number, RouteKind.READ, at_s=39.9 + after_s)

    return add


def make_span(kind, target, begin_s, settled_s):
    return FaultSpan(kind=kind, target=target, begin_s=begin_s, settled_s=settled_s)


def keep_only(journal, *, until_s):
    """Drop the usual requests before a time, which would reach the upstream too."""
    journal.told = [each for each in journal.told if each.sent_s > until_s]
    journal.arrivals = [each for each in journal.arrivals if each.at_s > until_s]


def alone(event):
    def add(journal):
        keep_only(journal, until_s=60.0)
        event(journal)

    return add


def write_parts(*versions, count):
    """Let upstreams of the versions write the parts of streams, in turn."""

    def add(journal):
        for stream in range(count):
            for number, version in enumerate(versions):
                part = StreamPart(
                    stream=f"{stream:016x}",
                    upstream=f"i-{number}",
                    version=version,
                    first=1 + 3 * number,
                    at_s=30.0 + number,
                )
                journal.stream_parts.append(part)

    return add


def send_bad(kind, content, crashes_s, arrivals_s, *, fault=None):
    """Let a content crash upstreams, and arrive at others; times from 40 s on."""

    def add(journal):
        journal.content_crashes += [
            ContentCrash(
                kind=kind, content=content, upstream=f"i-{at_s}", at_s=40.0 + at_s
            )
            for at_s in crashes_s
        ]
        if fault is not None:
            journal.faults.append(fault)
        for number, at_s in enumerate(arrivals_s):
            request = add_request(
                journal,
                500 + number,
                RouteKind.READ,
                runs=0,
                at_s=40.0 + at_s,
                status=502,
            )
            journal.arrivals.append(make_arrival(request, bad_content=content))

    return add


MANY_TIMES_S = [4.0 + number / 10 for number in range(40)]

LATE_TIMES_S = [6.0, 6.1, 6.2, 6.3]
EVENTS_BY_NAME = {
    "4 requests with a part 3 s after its fifth crash": send_bad(
        SiteFault.BAD_PART, "bad-1", [1.0, 1.1, 1.2, 1.3, 1.4], LATE_TIMES_S
    ),
    "4 repeats of a request 3 s after its third crash": send_bad(
        SiteFault.BAD_REQUEST, "/read/bad-1", [1.0, 1.1, 1.2], LATE_TIMES_S
    ),
    "3 streams that go on at another version": write_parts("v1", "v2", count=3),
    "2 streams that go on at another version": write_parts("v1", "v2", count=2),
    "3 streams that go on at their version": write_parts("v1", "v1", count=3),
    "4 requests with a part that crashed 4 upstreams": send_bad(
        SiteFault.BAD_PART, "bad-1", [1.0, 1.1, 1.2, 1.3], LATE_TIMES_S
    ),
    "3 requests with a part 3 s after its fifth crash": send_bad(
        SiteFault.BAD_PART, "bad-1", [1.0, 1.1, 1.2, 1.3, 1.4], LATE_TIMES_S[:3]
    ),
    "4 such requests from an instance cut off from the store": send_bad(
        SiteFault.BAD_PART,
        "bad-1",
        [1.0, 1.1, 1.2, 1.3, 1.4],
        LATE_TIMES_S,
        fault=make_span(SiteFault.CUT_STORE, INSTANCE, 42.0, 46.0),
    ),
    "a request 3.1 s after its upstream said that it leaves": alone(
        send_after_statement(SiteFault.SAY_LEAVING, 1.0, [3.1])
    ),
    "a request after a restart of the instance that was told": alone(
        send_after_statement(
            SiteFault.SAY_LEAVING,
            1.0,
            [3.1],
            fault=make_span(SiteFault.KILL_INSTANCE, INSTANCE, 41.0, 42.0),
        )
    ),
    "a request after a response that a cut may have lost": alone(
        send_after_statement(
            SiteFault.SAY_LEAVING,
            1.0,
            [3.1],
            fault=make_span(SiteFault.CUT_UPSTREAM, "plain-0", 40.5, 41.0),
        )
    ),
    "3 requests while an upstream wants none": alone(
        send_after_statement(SiteFault.TURN_AWAY, 2.0, [0.6, 0.9, 1.9])
    ),
    "3 requests just after an upstream wanted none": alone(
        send_after_statement(SiteFault.TURN_AWAY, 2.0, [2.1, 2.2, 2.3])
    ),
    "40 requests at a limit of 2 a second": alone(
        send_after_statement(SiteFault.NAME_LIMIT, 2.0, MANY_TIMES_S)
    ),
    "40 requests at a limit that other instances were told": alone(
        send_after_statement(SiteFault.NAME_LIMIT, 2.0, MANY_TIMES_S, instance="edge-2")
    ),
    "a second run of a sent request": run_again(RouteKind.SEND, 1),
    "a third run of a read request": run_again(RouteKind.READ, 2),
    "a second run of a read request": run_again(RouteKind.READ, 1),
    "a run of a refused request": answer(RouteKind.SEND, status=503),
    "a success that no upstream ran": answer(RouteKind.SEND, runs=0),
    "a success without a signature": answer(RouteKind.SEND, is_signed=False),
    "the body of another request": answer(RouteKind.SEND, body=b"other"),
    "a status that HTTP doesn't have": answer(RouteKind.SEND, status=101),
    "an unexpected error of an instance": answer(
        RouteKind.SEND, status=500, is_signed=False
    ),
    "a stream with an event twice": answer(
        RouteKind.STREAM, events=(1, 2, 2), is_whole=False
    ),
    "a stream with an event missing": answer(
        RouteKind.STREAM, events=(1, 3), is_whole=False
    ),
    "a stream that ends regularly after one event": answer(
        RouteKind.STREAM, events=(1,), body=b"id: 1\ndata: x\n\n", is_whole=True
    ),
    "a request without an answer": answer(RouteKind.SEND, status=0, is_whole=False),
    "an answer 1 s after the deadline": answer(RouteKind.SEND, ended_s=54.0),
    "a run 5.1 s after its key was revoked": revoke_and_run,
    "a run for another team": run_for_other_team,
    "a valid key denied": answer(RouteKind.SEND, runs=0, status=401),
    "a request sent 3.1 s after an upstream began to leave": send_to_leaving,
    "a request to a leaving upstream from an instance cut off": (
        send_to_leaving_while_cut
    ),
    "a new route unknown after 3.1 s": change_route(is_added=True, status=404),
    "a removed route served after 3.1 s": change_route(is_added=False, status=200),
    "80 retries of a few requests": repeat_often,
    "an instance that ended unexpectedly": lambda journal: journal.ended.update(
        {INSTANCE: 1}
    ),
    "a planned stop with another code": lambda journal: add_fault(
        journal, SiteFault.STOP_INSTANCE, 58.0, 59.0, exit_code=1
    ),
    "an upstream's failures at the end": fail_at_the_end,
    "a request without an answer at a killed instance": lambda journal: lose_answer(
        journal, SiteFault.KILL_INSTANCE
    ),
    "a request that crossed a planned stop": lambda journal: lose_answer(
        journal, SiteFault.STOP_INSTANCE, runs=0
    ),
}


@given("the journal of a site's run without violations")
def make_journal_without_violations(context):
    context.journal = make_journal()


@when("{event} is added to the site's journal")
def add_event(context, event):
    EVENTS_BY_NAME[event](context.journal)


@when("the site's run of seed {seed:d} sends requests for {duration_s:d} s")
def run(context, seed, duration_s, kinds=tuple(SiteFault)):
    with tempfile.TemporaryDirectory() as directory:
        context.journal = asyncio.run(
            run_site_soak(
                seed=seed,
                duration_s=float(duration_s),
                directory=Path(directory),
                instances=3,
                kinds=kinds,
            )
        )


@when(
    "the site's run of seed {seed:d} with copied responses alone sends requests "
    "for {duration_s:d} s"
)
def run_with_copies(context, seed, duration_s):
    run(context, seed, duration_s, (SiteFault.COPY_RESPONSES,))


def find_violations(context):
    verdicts = check_journals(context.journal, SITE_RULES)
    return {each.rule: each.violations for each in verdicts if each.violations}


@then("no rule of the site is broken")
def check_none(context):
    assert not find_violations(context), find_violations(context)


@then('only the site\'s rule "{rule}" is broken')
def check_only(context, rule):
    assert set(find_violations(context)) == {rule}, find_violations(context)


@then(
    "the site's seed {first:d} draws the same faults twice, "
    "and seed {other:d} draws different faults"
)
def check_seeds(context, first, other):
    draws = [
        plan_site_faults(seed=seed, duration_s=40.0, **NAMES)
        for seed in (first, first, other)
    ]
    assert draws[0] == draws[1] != draws[2]


@then(
    "in {duration_s:d} s each kind is drawn, "
    "and all faults end before the fault-free period"
)
def check_kinds(context, duration_s):
    events = plan_site_faults(seed=1, duration_s=float(duration_s), **NAMES)
    assert {event.kind for event in events} == set(SiteFault)
    assert max(event.at_s + event.duration_s for event in events) < duration_s - 7


@then(
    "more than {requests:d} requests were served "
    "and at least {faults:d} faults injected"
)
def check_counts(context, requests, faults):
    served = [request for request in context.journal.told if request.status == 200]
    assert len(served) > requests, len(served)
    assert len(context.journal.faults) >= faults, context.journal.faults


@then("at least {refusals:d} refusals and {answers:d} answers were sent once more")
def check_copies(context, refusals, answers):
    copied = [copy.is_refusal for copy in context.journal.copies]
    assert copied.count(True) >= refusals, copied.count(True)
    assert copied.count(False) >= answers, copied.count(False)
