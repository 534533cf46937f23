from dataclasses import replace

from behave import given, then, when

from benchmarks.journals import Change, Commit, RevisionInForce
from benchmarks.schedule import FaultKind
from benchmarks.soak import check_journals
from features.soak.journal_makers import (
    INSTANCE,
    SIBLING,
    add_request,
    make_fault,
    make_journals,
    make_request,
    make_upstream_entries,
)

AT_S = 80.0


@given("the journals of a run without violations")
def make_journals_without_violations(context):
    context.journals = make_journals()


@when("{event} is added")
def add_event(context, event):
    EVENTS[event](context.journals)


@then("no rule is broken")
def check_no_violation(context):
    assert not find_violations(context.journals), find_violations(context.journals)


@then('only "{rule}" is broken')
def check_only_violation(context, rule):
    assert list(find_violations(context.journals)) == [rule], find_violations(
        context.journals
    )


def find_violations(journals):
    return {
        verdict.rule: verdict.violations
        for verdict in check_journals(journals)
        if verdict.violations
    }


def run_twice(journals):
    submission = journals.told[-1]
    other = replace(submission, instance=SIBLING, request_id=f"{SIBLING}-f00-1")
    journals.ran += make_upstream_entries(other, "engine-2")


def make_refused_request(number=500, sent_s=AT_S, **fields):
    values = {"outcome": "not-run", "reason": "deadline-passed", "ended_s": sent_s + 2}
    return make_request(number, sent_s, **values | fields)


def run_refused(journals):
    add_request(journals, make_refused_request(reason="claim-held"))


def copy_submission(journals, **fields):
    copy = replace(
        journals.told[-1],
        instance=SIBLING,
        request_id=f"{SIBLING}-f00-7",
        outcome="not-run",
        reason="claim-held",
        **fields,
    )
    journals.told.append(copy)
    return copy


def run_refused_copy(journals):
    copy = copy_submission(journals)
    # The copy runs in place of the original, so that the key itself runs only once.
    journals.ran = [each for each in journals.ran if each.digest != copy.digest]
    journals.ran += make_upstream_entries(copy)


def refuse_query(journals, drafts, faults=()):
    add_request(journals, make_refused_request(), has_run=False)
    for number in range(drafts):
        draft = make_request(600 + number, AT_S + 0.1, service_class="draft", tier=3)
        add_request(journals, draft)
    journals.faults += faults


def starve_class(journals):
    for number in range(20):
        request = make_request(
            700 + number,
            30.0 + number / 2,
            service_class="draft",
            tier=3,
            outcome="failed",
            is_right=False,
        )
        add_request(journals, request, has_run=False)


def starve_but_serve_remote_request(journals, sent_s):
    """Starve a class here while an upstream here starts a remote request of the class.

    A remote request is one that was sent in another data centre.
    """
    starve_class(journals)
    journals.data_centres["b-1"] = "b"
    remote_request = make_request(
        950, sent_s, instance="b-1", service_class="draft", tier=3, ended_s=37.0
    )
    journals.told.append(remote_request)
    journals.ran += [
        replace(entry, time_s=36.0) for entry in make_upstream_entries(remote_request)
    ]


def cut_by_stop(journals):
    request = make_request(
        500, 171.0, outcome="no-answer", reason="ServerDisconnectedError"
    )
    add_request(journals, request)


def stop_with_code(journals):
    stop = make_fault(FaultKind.STOP_INSTANCE, SIBLING, 180.0, 185.0, exit_code=70)
    journals.faults.append(stop)


def send_to_leaving(journals):
    add_request(journals, make_request(500, 155.0))


def send_after_pause(journals):
    send_to_leaving(journals)
    pause = make_fault(FaultKind.PAUSE_INSTANCE, INSTANCE, 149.0, 155.2)
    journals.faults.append(pause)


def drop_change(journals):
    journals.in_force = [
        each
        for each in journals.in_force
        if (each.instance, each.revision) != (SIBLING, 2)
    ]


def catch_up(journals, at_s):
    drop_change(journals)
    for kind in (FaultKind.CUT_FROM_PLATFORM, FaultKind.CUT_PEERS):
        journals.faults.append(make_fault(kind, "a", 48.0, 65.0))
    # The sibling gets the change at this time, which may be long after the cut.
    journals.in_force.append(
        RevisionInForce(instance=SIBLING, process=0, revision=2, time_s=at_s)
    )


def decrease_revision(journals, process):
    journals.in_force.append(
        RevisionInForce(instance=SIBLING, process=process, revision=1, time_s=199.0)
    )


def add_change(journals, result, *, is_made):
    change = Change(
        change_id="c-2", instance=INSTANCE, result=result, told_s=199.0, revision=3
    )
    journals.changes.append(change)
    if is_made:
        journals.commits.append(Commit(change_id="c-2", revision=3, time_s=198.9))


def kill_with_caller(journals):
    add_request(journals, make_request(500, AT_S, outcome="cut"))
    kill = make_fault(FaultKind.KILL_INSTANCE, INSTANCE, AT_S + 0.6, AT_S + 3)
    journals.faults.append(kill)


CUT_PEERS = make_fault(FaultKind.CUT_PEERS, "a", AT_S - 1, AT_S + 1)
EVENTS = {
    "a second run of a submission": run_twice,
    "a run of a refused request": run_refused,
    "a run of a refused copy of a submission": run_refused_copy,
    "a wrong answer reported as completed": lambda journals: add_request(
        journals, make_request(500, AT_S, is_right=False)
    ),
    "a caller without an answer": lambda journals: add_request(
        journals, make_request(500, AT_S, outcome="no-answer", ended_s=AT_S + 25)
    ),
    "a stream cut at a live instance": lambda journals: add_request(
        journals, make_request(500, AT_S, outcome="cut")
    ),
    "a late answer": lambda journals: add_request(
        journals, make_request(500, AT_S, ended_s=AT_S + 13.5)
    ),
    "two answers to one request": lambda journals: add_request(
        journals, make_request(500, AT_S, answers=2)
    ),
    "a query refused while drafts are sent": lambda journals: refuse_query(journals, 8),
    "a query refused while peers are cut": lambda journals: refuse_query(
        journals, 8, [CUT_PEERS]
    ),
    "a query refused while the floor serves a draft": lambda journals: refuse_query(
        journals, 2
    ),
    "a class without a start": starve_class,
    "a class that waits while a newer remote request starts": lambda journals: (
        starve_but_serve_remote_request(journals, 36.0)
    ),
    "a class that waits while an older remote request starts": lambda journals: (
        starve_but_serve_remote_request(journals, 29.0)
    ),
    "a request cut by a planned stop": cut_by_stop,
    "a planned stop with code 70": stop_with_code,
    "an instance that a violated invariant ended": lambda journals: (
        journals.ended.update({INSTANCE: 70})
    ),
    "a violated invariant in a log": lambda journals: journals.violations.append(
        "a-1: one-grant-per-request"
    ),
    "a request sent 5 s after an upstream began to leave": send_to_leaving,
    "a request sent 5 s after that by a resumed instance": send_after_pause,
    "an instance without an accepted change": drop_change,
    "an instance that never caught up after a cut": lambda journals: catch_up(
        journals, 190.0
    ),
    "a change that waits for the end of a cut": lambda journals: catch_up(
        journals, 68.0
    ),
    "a revision that decreased": lambda journals: decrease_revision(journals, 0),
    "a restart with an older revision": lambda journals: decrease_revision(journals, 1),
    "a change committed twice": lambda journals: journals.commits.append(
        journals.commits[0]
    ),
    "an accepted change that was not committed": lambda journals: add_change(
        journals, "accepted", is_made=False
    ),
    "a conflicting change that was committed": lambda journals: add_change(
        journals, "conflict", is_made=True
    ),
    "a caller whose instance was killed": kill_with_caller,
    "a refused copy of a submission that ran": copy_submission,
}
