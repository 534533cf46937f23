"""Plays drawn histories of requests, responses, freezes and lists.

The model keeps, for each process of an upstream, what the responses that arrived at the
instance have stated.
"""

import asyncio
from dataclasses import dataclass, field

from behave import then
from hypothesis import given as given_examples
from hypothesis import settings
from hypothesis import strategies as st

from benchmarks.site.request_limit import ReceivedRequests, find_largest_excess
from jujubenotch.forwarding import (
    DirectCapacity,
    Item,
    ListedUpstream,
    UpstreamListing,
    apply_items,
)
from jujubenotch.outcomes import Refusal
from jujubenotch.work import (
    Unreadable,
    UpstreamNotice,
    WorkReport,
    WorkRequest,
    WorkResult,
)

NAMES = ("a", "b")
LIMIT_PER_S = 1.5
NOTICES = st.sampled_from(
    (
        UpstreamNotice(),
        UpstreamNotice(),
        UpstreamNotice(),
        UpstreamNotice(is_leaving=True),
        UpstreamNotice(wait_s=0.7),
        UpstreamNotice(wait_s=4.0),
        UpstreamNotice(limit_per_s=LIMIT_PER_S),
        UpstreamNotice(limit_per_s=LIMIT_PER_S, wait_s=1.0),
        UpstreamNotice(limit_per_s=Unreadable(text="x"), wait_s=Unreadable(text="y")),
    )
)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("send"), st.integers(1, 4)),
        st.tuples(st.just("answer"), NOTICES),
        st.tuples(st.just("pass"), st.sampled_from((0.1, 0.4, 1.0, 3.0))),
        st.tuples(st.just("freeze"), st.sampled_from((0.5, 5.0))),
        st.tuples(st.just("unlist"), st.sampled_from(NAMES)),
        st.tuples(st.just("list"), st.sampled_from(NAMES)),
        st.tuples(st.just("relist"), st.sampled_from(NAMES)),
        st.tuples(st.just("restart"), st.sampled_from(NAMES)),
    ),
    min_size=20,
    max_size=60,
)


@dataclass(kw_only=True)
class Process:
    """What one process of an upstream has stated, and what it received."""

    is_leaving: bool = False
    wait_until_s: float = 0.0
    limit_named_s: float | None = None
    received: ReceivedRequests = field(default_factory=ReceivedRequests)

    @property
    def has_stated(self):
        return self.is_leaving or self.wait_until_s or self.limit_named_s is not None


class StatementHistory:
    """One instance before two upstreams; suspended time counts on one clock only."""

    def __init__(self):
        self.steady_s = 50.0
        self.suspended_s = 0.0
        self.starts = dict.fromkeys(NAMES, 1)
        self.listed = set()
        self.processes = {}
        self.outstanding = []
        self.violations = []
        self.listing = UpstreamListing()
        draws = iter(range(1, 1_000_000))
        self.capacity = DirectCapacity(
            listing=self.listing,
            read_clock_s=lambda: self.steady_s,
            read_listing_clock_s=lambda: self.now_s,
            draw=lambda: (next(draws) * 0.618) % 1,
        )
        for name in NAMES:
            self.play("list", name)

    @property
    def now_s(self):
        return self.steady_s + self.suspended_s

    def find_process(self, name):
        return self.processes.setdefault((name, self.starts[name]), Process())

    def play(self, step, value):
        getattr(self, f"play_{step}")(value)

    def play_send(self, count):
        for _ in range(count):
            self.send()

    def send(self):
        grant = asyncio.run(self.capacity.acquire(self.make_request()))
        if isinstance(grant, Refusal):
            self.check_refusal()
            return
        name = grant.upstream
        process = self.find_process(name)
        if process.is_leaving:
            self.violations.append(("leaving", name))
        if self.now_s < process.wait_until_s:
            self.violations.append(("wait", name))
        if process.limit_named_s is not None:
            process.received.arrivals.append((self.now_s, "own"))
        self.outstanding.append((grant, self.starts[name]))

    def check_refusal(self):
        silent = [
            name for name in self.listed if not self.find_process(name).has_stated
        ]
        if silent:
            self.violations.append(("refused", silent))

    def make_request(self):
        return WorkRequest(
            request_id="r",
            target="drafting",
            team="agents",
            team_weight=1.0,
            team_limit=0,
            service_class="c",
            tier=0,
            arrived_s=self.steady_s,
            first_token_by_s=self.steady_s + 0.4,
            deadline_s=self.steady_s + 2.5,
            max_wait_s=1.0,
            expected_tokens=10,
        )

    def play_answer(self, notice):
        if not self.outstanding:
            return
        grant, start = self.outstanding.pop(0)
        name = grant.upstream
        # A process that has ended answers nothing.
        if start == self.starts[name]:
            self.capacity.record_notice(name, notice)
            self.note(self.find_process(name), notice)
        report = WorkReport(result=WorkResult.COMPLETED)
        self.capacity.release(grant, report, self.steady_s)

    def note(self, process, notice):
        if notice.is_leaving is True:
            process.is_leaving = True
        if isinstance(notice.wait_s, float):
            until_s = self.now_s + notice.wait_s
            process.wait_until_s = max(process.wait_until_s, until_s)
        if notice.limit_per_s is None:
            process.limit_named_s = None
        elif isinstance(notice.limit_per_s, float) and process.limit_named_s is None:
            process.limit_named_s = self.now_s
            process.received = ReceivedRequests(told_s={"own": self.now_s})

    def play_pass(self, seconds):
        self.steady_s += seconds

    def play_freeze(self, seconds):
        self.suspended_s += seconds

    def play_unlist(self, name):
        if name not in self.listed:
            return
        self.listed.discard(name)
        self.apply(Item(key=name, value=None, is_removed=True))
        self.capacity.forget([name])

    def play_list(self, name):
        self.listed.add(name)
        listed = ListedUpstream(
            name=name,
            service="drafting",
            address="127.0.0.1:1",
            data_centre="north",
            slots=48,
            started_ms=self.starts[name],
        )
        self.apply(Item(key=name, value=listed))

    def play_relist(self, name):
        """Let an entry expire and come back, as after an outage of the store."""
        self.play_unlist(name)
        self.play_list(name)

    def play_restart(self, name):
        self.starts[name] += 1
        if name in self.listed:
            self.play_list(name)

    def apply(self, item):
        apply_items(
            self.listing,
            (item,),
            is_snapshot=False,
            follows_outage=False,
            now_s=self.now_s,
        )

    def check_limits(self):
        for process in self.processes.values():
            if process.limit_named_s is None:
                continue
            excess = find_largest_excess(
                process.received, LIMIT_PER_S, named_s=process.limit_named_s
            )
            if excess > 0:
                self.violations.append(("limit", excess))


def play_histories(kind):
    @settings(derandomize=True, database=None, max_examples=400, deadline=None)
    @given_examples(STEPS)
    def play(steps):
        history = StatementHistory()
        for step, value in steps:
            history.play(step, value)
        history.check_limits()
        found = [each for each in history.violations if each[0] == kind]
        assert not found, found

    play()


@then("in drawn histories a leaving upstream gets nothing more")
def check_leaving(context):
    play_histories("leaving")


@then(
    "in drawn histories an upstream gets nothing before the end of the time that it named"
)
def check_waits(context):
    play_histories("wait")


@then("in drawn histories an upstream gets no more than its limit from one instance")
def check_limits(context):
    play_histories("limit")


@then("in drawn histories nothing is refused while an upstream has stated nothing")
def check_refusals(context):
    play_histories("refused")
